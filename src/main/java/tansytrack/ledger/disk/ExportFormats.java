package tansytrack.ledger.disk;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.TaskEnd;
import tansytrack.ledger.Use;
import tansytrack.ledger.proto.BatchHead;
import tansytrack.ledger.proto.Forward;
import tansytrack.ledger.proto.Line;

/**
 * The formats of an export: delimited protobuf messages (ledger.proto) and CSV. The same lines
 * always give the same bytes.
 */
final class ExportFormats {

  static final String PROTOBUF = "protobuf";
  static final String CSV = "csv";
  private static final String[] COLUMNS = {
    "batch",
    "position",
    "kind",
    "manager",
    "epoch",
    "number",
    "task",
    "tenant",
    "grade",
    "taken_at_ns",
    "ended_at_ns",
    "end",
    "returned_bytes",
    "earnings_milli",
    "forwards",
    "work_ns",
    "wasted_ns",
    "mb_ns",
    "period",
    "amount",
    "corrects",
    "author",
    "reason"
  };

  private ExportFormats() {}

  /** The extension of the file names of a format. */
  static String fileExtension(String form) {
    return form.equals(CSV) ? "csv" : "pb";
  }

  /** Writes a batch with the lines of the given positions. */
  static void writeBatch(
      LedgerStore store, long number, long first, long last, String form, OutputStream to)
      throws IOException {
    OutputStream out = new BufferedOutputStream(to, 1 << 16);
    if (form.equals(CSV)) {
      Writer text = new OutputStreamWriter(out, StandardCharsets.UTF_8);
      CSVPrinter csv = new CSVPrinter(text, CSVFormat.RFC4180);
      csv.printRecord((Object[]) COLUMNS);
      store.read(first, last, new CsvLineWriter(csv, number, store.manager()));
      csv.flush();
      text.flush();
    } else {
      BatchHead.newBuilder()
          .setManager(store.manager())
          .setNumber(number)
          .setFirstPosition(first)
          .setLastPosition(last)
          .setLines(last - first + 1)
          .build()
          .writeDelimitedTo(out);
      store.read(first, last, new ProtobufLineWriter(out));
    }
    out.flush();
  }

  /** Writes each line as a row with all columns. */
  private record CsvLineWriter(CSVPrinter csv, long number, String manager)
      implements LedgerStore.LineVisitor {

    @Override
    public void entry(long at, Entry one) throws IOException {
      csv.printRecord(
          number,
          at,
          "entry",
          manager,
          one.epoch(),
          one.sequence(),
          one.task(),
          one.tenant(),
          one.grade(),
          one.takenAt(),
          one.endedAt(),
          one.end(),
          one.bytes(),
          one.earningsMilli(),
          one.uses().size(),
          one.workNanos(true),
          one.workNanos(true) - one.workNanos(false),
          one.memoryMbNanos(true),
          "",
          "",
          "",
          "",
          "");
    }

    @Override
    public void amendment(long at, Amendment one) throws IOException {
      csv.printRecord(
          number,
          at,
          one.withdraws() ? "withdrawal" : "amendment",
          manager,
          "",
          one.number(),
          "",
          one.tenant(),
          "",
          one.createdAt(),
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          one.period(),
          one.amount().toPlainString(),
          one.corrects(),
          one.author(),
          one.reason());
    }

    @Override
    public void gap(long at, Gap one) throws IOException {
      csv.printRecord(
          number,
          at,
          "gap",
          manager,
          one.epoch(),
          one.number(),
          "",
          "",
          "",
          one.from(),
          one.until(),
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          one.firstSequence() + "-" + one.lastSequence(),
          "",
          one.lines() + " lines: " + one.cause());
    }
  }

  /** Writes each line as a protobuf message, preceded by its length. */
  private record ProtobufLineWriter(OutputStream out) implements LedgerStore.LineVisitor {

    @Override
    public void entry(long at, Entry one) throws IOException {
      tansytrack.ledger.proto.Entry.Builder made =
          tansytrack.ledger.proto.Entry.newBuilder()
              .setEpoch(one.epoch())
              .setSequence(one.sequence())
              .setTask(one.task())
              .setTenant(one.tenant())
              .setGrade(one.grade())
              .setTakenAtNs(one.takenAt())
              .setEndedAtNs(one.endedAt())
              .setEnd(one.end().name())
              .setReturnedBytes(one.bytes())
              .setEarningsMilli(one.earningsMilli());
      for (Use use : one.uses()) {
        made.addForwards(
            Forward.newBuilder()
                .setEngine(use.engine())
                .setSentAtNs(use.sentAt())
                .setEndedAtNs(use.endedAt())
                .setOutcome(use.outcome())
                .setWorkNs(use.work())
                .setNeededMb(use.neededMb())
                .setGrantedMb(use.grantedMb())
                .setWasted(use.wasted()));
      }
      Line.newBuilder().setPosition(at).setEntry(made).build().writeDelimitedTo(out);
    }

    @Override
    public void amendment(long at, Amendment one) throws IOException {
      Line.newBuilder()
          .setPosition(at)
          .setAmendment(
              tansytrack.ledger.proto.Amendment.newBuilder()
                  .setNumber(one.number())
                  .setPeriod(one.period())
                  .setTenant(one.tenant())
                  .setAmount(one.amount().toPlainString())
                  .setAuthor(one.author())
                  .setReason(one.reason())
                  .setCorrects(one.corrects())
                  .setAtNs(one.createdAt())
                  .setWithdraws(one.withdraws()))
          .build()
          .writeDelimitedTo(out);
    }

    @Override
    public void gap(long at, Gap one) throws IOException {
      Line.newBuilder()
          .setPosition(at)
          .setGap(
              tansytrack.ledger.proto.Gap.newBuilder()
                  .setEpoch(one.epoch())
                  .setNumber(one.number())
                  .setFirstSequence(one.firstSequence())
                  .setLastSequence(one.lastSequence())
                  .setFromNs(one.from())
                  .setUntilNs(one.until())
                  .setLines(one.lines())
                  .setCause(one.cause()))
          .build()
          .writeDelimitedTo(out);
    }
  }

  /**
   * Reads an exported batch in the protobuf format and returns its head.
   *
   * @param wants returns the visitor for the lines of a manager, by its name
   */
  static BatchHead readBatch(InputStream from, Function<String, LedgerStore.LineVisitor> wants)
      throws IOException {
    BatchHead head = BatchHead.parseDelimitedFrom(from);
    if (head == null || head.getManager().isEmpty() || head.getLines() < 1) {
      throw new IOException("is not an exported batch");
    }
    LedgerStore.LineVisitor to = wants.apply(head.getManager());
    for (long i = 0; i < head.getLines(); i++) {
      Line line = Line.parseDelimitedFrom(from);
      if (line == null) {
        throw new IOException("ends after " + i + " of " + head.getLines() + " lines");
      }
      if (line.hasEntry()) {
        to.entry(line.getPosition(), parseEntry(line.getEntry()));
      } else if (line.hasAmendment()) {
        tansytrack.ledger.proto.Amendment one = line.getAmendment();
        to.amendment(
            line.getPosition(),
            new Amendment(
                one.getNumber(),
                one.getPeriod(),
                one.getTenant(),
                new BigDecimal(one.getAmount()),
                one.getAuthor(),
                one.getReason(),
                one.getCorrects(),
                one.getAtNs(),
                one.getWithdraws()));
      } else {
        tansytrack.ledger.proto.Gap one = line.getGap();
        to.gap(
            line.getPosition(),
            new Gap(
                one.getEpoch(),
                one.getNumber(),
                one.getFirstSequence(),
                one.getLastSequence(),
                one.getFromNs(),
                one.getUntilNs(),
                one.getLines(),
                one.getCause()));
      }
    }
    return head;
  }

  private static Entry parseEntry(tansytrack.ledger.proto.Entry one) throws IOException {
    List<Use> uses = new ArrayList<>(one.getForwardsCount());
    for (Forward use : one.getForwardsList()) {
      uses.add(
          new Use(
              uses.size(),
              use.getEngine(),
              use.getSentAtNs(),
              use.getEndedAtNs(),
              use.getOutcome(),
              use.getWorkNs(),
              use.getNeededMb(),
              use.getGrantedMb(),
              use.getWasted()));
    }
    try {
      return new Entry(
          one.getEpoch(),
          one.getSequence(),
          one.getTask(),
          one.getTenant(),
          one.getGrade(),
          one.getTakenAtNs(),
          one.getEndedAtNs(),
          TaskEnd.valueOf(one.getEnd()),
          one.getReturnedBytes(),
          one.getEarningsMilli(),
          uses);
    } catch (IllegalArgumentException e) {
      throw new IOException("has an entry with the unknown end '" + one.getEnd() + "'", e);
    }
  }
}
