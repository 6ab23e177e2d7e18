package tansytrack.operator;

import com.google.protobuf.Descriptors;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TextFormatParseInfoTree;
import com.google.protobuf.TextFormatParseLocation;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tansytrack.ledger.BillingPeriods;
import tansytrack.ledger.ClosingPolicy;
import tansytrack.ledger.Rates;
import tansytrack.operator.proto.Billing;
import tansytrack.operator.proto.Fleet;
import tansytrack.operator.proto.Ledger;
import tansytrack.operator.proto.Log;
import tansytrack.operator.proto.Operator;
import tansytrack.operator.proto.Peer;
import tansytrack.operator.proto.Quota;
import tansytrack.operator.proto.Rate;
import tansytrack.settings.InvalidInputException;

/**
 * The operator file, parsed and validated. A section that the file does not contain is off. Error
 * messages name the file, line, column and field, and the allowed values.
 */
public final class OperatorFile {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_HOUR = 3_600_000_000_000L;
  private static final int MAX_DECIMAL_LENGTH = 24;

  /**
   * The ledger section; times are in nanoseconds. The three flags tell, in this order, whether
   * answers wait for the commit of the task's entry, whether forwards wait for the commit of their
   * intent, and whether new tasks are rejected while the queue to the disk is full. The billing
   * text is the billing section and the waste setting in text form, stored with each closed period.
   */
  public record LedgerSection(
      Path folder,
      boolean answersAfterCommit,
      boolean forwardsAfterCommit,
      boolean rejectsTasksWhenFull,
      long maxWaitNanos,
      long commitIntervalNanos,
      int maxUnwrittenLines,
      BillingPeriods periods,
      Rates rates,
      ClosingPolicy closingPolicy,
      List<TenantQuota> quotas,
      String billingText) {}

  /** Usage of a tenant in a billing period that triggers a warning; 0 means no limit. */
  public record TenantQuota(String tenant, long tasks, long workNanos) {}

  /** The fleet section: the other managers. Times are in nanoseconds, addresses are text. */
  public record FleetSection(
      String name,
      String zone,
      String address,
      List<FleetPeer> peers,
      long probeIntervalNanos,
      int maxBytesPerSecond,
      long settleNanos) {}

  /** Another manager of the fleet; seeds are contacted first at a start. */
  public record FleetPeer(String name, String address, boolean seed) {}

  private final LedgerSection ledger;
  private final boolean jsonLines;
  private final FleetSection fleet;

  private OperatorFile(boolean jsonLines, LedgerSection ledger, FleetSection fleet) {
    this.jsonLines = jsonLines;
    this.ledger = ledger;
    this.fleet = fleet;
  }

  /** Returns the fleet section, or null if the file has none. */
  public FleetSection fleet() {
    return fleet;
  }

  /** Returns the ledger section, or null if the file has none. */
  public LedgerSection ledger() {
    return ledger;
  }

  /** Returns whether log lines are JSON objects. */
  public boolean jsonLines() {
    return jsonLines;
  }

  /**
   * Reads and validates a file on disk. A file that cannot be read or is invalid causes an
   * exception whose message names the file, line and column.
   */
  public static OperatorFile read(String file) {
    String text;
    try {
      text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read: " + e);
    }
    return parse(file, text);
  }

  /** Parses and validates the text; the file name is used only in error messages. */
  public static OperatorFile parse(String file, String text) {
    Operator.Builder builder = Operator.newBuilder();
    TextFormatParseInfoTree.Builder locations = TextFormatParseInfoTree.builder();
    try {
      TextFormat.Parser.newBuilder()
          .setParseInfoTreeBuilder(locations)
          .build()
          .merge(text, builder);
    } catch (TextFormat.ParseException e) {
      throw new InvalidInputException(file + ':' + e.getMessage());
    }
    Operator message = builder.build();
    SourceLocation root = new SourceLocation(file, locations.build());
    return new OperatorFile(
        message.getLog().getForm() == Log.Form.JSON_LINES,
        message.hasLedger()
            ? ledger(
                message.getLedger(),
                root.child(Operator.getDescriptor().findFieldByName("ledger"), 0))
            : null,
        message.hasFleet()
            ? fleet(
                message.getFleet(),
                root.child(Operator.getDescriptor().findFieldByName("fleet"), 0))
            : null);
  }

  /** Location of a section in the file, to report its fields by line and column. */
  private record SourceLocation(String file, TextFormatParseInfoTree tree) {

    SourceLocation child(FieldDescriptor field, int index) {
      return new SourceLocation(file, tree.getNestedTree(field, index));
    }

    InvalidInputException error(FieldDescriptor field, int index, Object value, String allowed) {
      List<TextFormatParseLocation> locations = tree.getLocations(field);
      TextFormatParseLocation location = index < locations.size() ? locations.get(index) : null;
      String lineAndColumn =
          location == null ? "" : ":" + (location.getLine() + 1) + ':' + (location.getColumn() + 1);
      return new InvalidInputException(
          file
              + lineAndColumn
              + ": "
              + field.getName()
              + ": "
              + (lineAndColumn.isEmpty() ? "missing" : "'" + value + "'")
              + "; allowed: "
              + allowed);
    }
  }

  private static LedgerSection ledger(Ledger message, SourceLocation location) {
    requireFolder(message, location);
    int commitIntervalMs =
        inRangeOrDefault(
            message.getCommitEveryMs(),
            5,
            1,
            1000,
            Ledger.getDescriptor(),
            "commit_every_ms",
            location);
    int maxUnwrittenLines =
        inRangeOrDefault(
            message.getMostUnwritten(),
            16384,
            64,
            1 << 20,
            Ledger.getDescriptor(),
            "most_unwritten",
            location);
    int maxWaitMs =
        inRangeOrDefault(
            message.getMostWaitMs(),
            100,
            1,
            10000,
            Ledger.getDescriptor(),
            "most_wait_ms",
            location);
    FieldDescriptor billingField = field(Ledger.getDescriptor(), "billing");
    SourceLocation billingLocation =
        message.hasBilling() ? location.child(billingField, 0) : location;
    Billing billing = message.getBilling();
    BillingPeriods periods = periods(billing, billingLocation);
    ClosingPolicy closingPolicy = closingPolicy(billing, periods, billingLocation);
    return new LedgerSection(
        Path.of(message.getFolder()),
        message.getAnswers() == Ledger.Wait.AFTER_COMMIT,
        message.getForwards() == Ledger.Wait.AFTER_COMMIT,
        message.getWhenFull() == Ledger.WhenFull.BOUNCE,
        maxWaitMs * NANOS_PER_MS,
        commitIntervalMs * NANOS_PER_MS,
        maxUnwrittenLines,
        periods,
        rates(billing, message.getWaste() == Ledger.Waste.TENANT, billingLocation),
        closingPolicy,
        quotas(billing, billingLocation),
        billingText(message));
  }

  private static void requireFolder(Ledger message, SourceLocation location) {
    if (message.getFolder().isBlank()) {
      throw location.error(
          field(Ledger.getDescriptor(), "folder"),
          0,
          message.getFolder(),
          "a folder on a persistent disk");
    }
  }

  private static ClosingPolicy closingPolicy(
      Billing billing, BillingPeriods periods, SourceLocation billingLocation) {
    if (billing.getGraceHours() < 0) {
      throw billingLocation.error(
          field(Billing.getDescriptor(), "grace_hours"), 0, billing.getGraceHours(), "at least 0");
    }
    return new ClosingPolicy(periods, billing.getGraceHours() * NANOS_PER_HOUR);
  }

  private static String billingText(Ledger message) {
    return TextFormat.printer().emittingSingleLine(true).printToString(message.getBilling())
        + " waste: "
        + message.getWaste();
  }

  private static List<TenantQuota> quotas(Billing billing, SourceLocation billingLocation) {
    List<TenantQuota> quotas = new ArrayList<>();
    for (int i = 0; i < billing.getQuotasCount(); i++) {
      Quota quota = billing.getQuotas(i);
      if (quota.getTasks() < 0 || quota.getWorkSeconds() < 0) {
        throw billingLocation.error(
            field(Billing.getDescriptor(), "quotas"),
            i,
            quota.getTenant(),
            "amounts of at least 0");
      }
      quotas.add(
          new TenantQuota(
              quota.getTenant(), quota.getTasks(), quota.getWorkSeconds() * 1_000_000_000L));
    }
    return quotas;
  }

  private static FleetSection fleet(Fleet message, SourceLocation location) {
    Descriptors.Descriptor descriptor = Fleet.getDescriptor();
    List<FleetPeer> peers = peers(message, location);
    return new FleetSection(
        message.getName(),
        message.getPlace(),
        message.getAddress(),
        List.copyOf(peers),
        inRangeOrDefault(
                message.getProbeEveryMs(), 500, 100, 10_000, descriptor, "probe_every_ms", location)
            * NANOS_PER_MS,
        inRangeOrDefault(
            message.getMostBytesASecond(),
            16_384,
            2048,
            1 << 20,
            descriptor,
            "most_bytes_a_second",
            location),
        inRangeOrDefault(message.getSettleS(), 30, 1, 3600, descriptor, "settle_s", location)
            * 1000L
            * NANOS_PER_MS);
  }

  /** Returns the other managers, whose names and addresses must be unique. */
  private static List<FleetPeer> peers(Fleet message, SourceLocation location) {
    Descriptors.Descriptor descriptor = Fleet.getDescriptor();
    Set<String> names = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    if (!message.getName().isEmpty()) {
      names.add(checkedName(message.getName(), descriptor, location));
    }
    addresses.add(checkedAddress(message.getAddress(), descriptor, location));
    List<FleetPeer> peers = new ArrayList<>();
    for (int i = 0; i < message.getPeersCount(); i++) {
      Peer peer = message.getPeers(i);
      SourceLocation peerLocation = location.child(field(descriptor, "peers"), i);
      if (!names.add(checkedName(peer.getName(), Peer.getDescriptor(), peerLocation))) {
        throw peerLocation.error(
            field(Peer.getDescriptor(), "name"),
            0,
            peer.getName(),
            "the unique names of the other managers, without this one");
      }
      if (!addresses.add(checkedAddress(peer.getAddress(), Peer.getDescriptor(), peerLocation))) {
        throw peerLocation.error(
            field(Peer.getDescriptor(), "address"),
            0,
            peer.getAddress(),
            "a unique address for each manager");
      }
      peers.add(new FleetPeer(peer.getName(), peer.getAddress(), peer.getSeed()));
    }
    if (peers.isEmpty()) {
      throw location.error(field(descriptor, "peers"), 0, "", "at least one");
    }
    return peers;
  }

  private static String checkedName(
      String name, Descriptors.Descriptor descriptor, SourceLocation location) {
    if (!name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,47}")) {
      throw location.error(
          field(descriptor, "name"),
          0,
          name,
          "1 to 48 letters, digits, '.', '_' or '-', starting with a letter or digit");
    }
    return name;
  }

  private static String checkedAddress(
      String text, Descriptors.Descriptor descriptor, SourceLocation location) {
    boolean wellFormed = text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    boolean valid =
        wellFormed
            && Arrays.stream(text.substring(0, text.indexOf(':')).split("\\."))
                .mapToInt(Integer::parseInt)
                .allMatch(octet -> octet < 256)
            && Integer.parseInt(text.substring(text.indexOf(':') + 1)) < 65536;
    if (!valid) {
      throw location.error(
          field(descriptor, "address"),
          0,
          text,
          "an IPv4 address with a port, as in 10.0.0.7:7946");
    }
    return text;
  }

  private static FieldDescriptor field(Descriptors.Descriptor descriptor, String name) {
    return descriptor.findFieldByName(name);
  }

  private static int inRangeOrDefault(
      int value,
      int defaultValue,
      int min,
      int max,
      Descriptors.Descriptor descriptor,
      String name,
      SourceLocation location) {
    if (value != 0 && (value < min || value > max)) {
      throw location.error(field(descriptor, name), 0, value, min + " to " + max);
    }
    return value == 0 ? defaultValue : value;
  }

  private static BillingPeriods periods(Billing billing, SourceLocation location) {
    try {
      BillingPeriods.Length length = BillingPeriods.Length.valueOf(billing.getPeriod().name());
      return new BillingPeriods(
          length, ZoneId.of(billing.getZone().isEmpty() ? "UTC" : billing.getZone()));
    } catch (DateTimeException e) {
      throw location.error(
          field(Billing.getDescriptor(), "zone"),
          0,
          billing.getZone(),
          "an IANA time zone, as in Asia/Kolkata");
    } catch (IllegalArgumentException e) {
      throw location.error(
          field(Billing.getDescriptor(), "period"), 0, billing.getPeriod(), "MONTH, WEEK, DAY");
    }
  }

  private static Rates rates(Billing billing, boolean wasteBilled, SourceLocation location) {
    int decimals = billing.hasDecimals() ? billing.getDecimals() : 2;
    if (decimals < 0 || decimals > 9) {
      throw location.error(field(Billing.getDescriptor(), "decimals"), 0, decimals, "0 to 9");
    }
    RoundingMode rounding =
        switch (billing.getRounding()) {
          case HALF_UP -> RoundingMode.HALF_UP;
          case UP -> RoundingMode.UP;
          case DOWN -> RoundingMode.DOWN;
          default -> RoundingMode.HALF_EVEN;
        };
    List<Rates.Rate> rates = new ArrayList<>();
    for (int i = 0; i < billing.getRatesCount(); i++) {
      Rate rate = billing.getRates(i);
      SourceLocation rateLocation = location.child(field(Billing.getDescriptor(), "rates"), i);
      LocalDate from;
      try {
        from = rate.getFromDate().isEmpty() ? LocalDate.EPOCH : LocalDate.parse(rate.getFromDate());
      } catch (DateTimeException e) {
        throw rateLocation.error(
            field(Rate.getDescriptor(), "from_date"),
            0,
            rate.getFromDate(),
            "a date, as in 2026-12-01");
      }
      Rates.Rate parsed =
          new Rates.Rate(
              rate.getTenant(),
              rate.getGrade(),
              from,
              price(rate.getPerTask(), "per_task", rateLocation),
              price(rate.getPerWorkSecond(), "per_work_second", rateLocation),
              price(rate.getPerGbSecond(), "per_gb_second", rateLocation),
              price(rate.getPerMbReturned(), "per_mb_returned", rateLocation));
      for (Rates.Rate other : rates) {
        if (other.tenant().equals(parsed.tenant())
            && other.grade().equals(parsed.grade())
            && other.validFrom().equals(parsed.validFrom())) {
          throw location.error(
              field(Billing.getDescriptor(), "rates"),
              i,
              rate.getTenant() + '/' + rate.getGrade() + " from " + from,
              "one rate per tenant, grade and date");
        }
      }
      rates.add(parsed);
    }
    return new Rates(List.copyOf(rates), decimals, rounding, wasteBilled);
  }

  private static BigDecimal price(String text, String name, SourceLocation location) {
    if (text.isEmpty()) {
      return BigDecimal.ZERO;
    }
    if (text.length() <= MAX_DECIMAL_LENGTH && text.matches("[0-9]+(\\.[0-9]+)?")) {
      return new BigDecimal(text);
    }
    throw location.error(
        field(Rate.getDescriptor(), name),
        0,
        text,
        "a plain decimal of at least 0, as in \"0.0125\"");
  }
}
