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
  static String fileExtension(String format) {
    return format.equals(CSV) ? "csv" : "pb";
  }

  /** Writes a batch with the lines of the given positions. */
  static void writeBatch(
      LedgerStore store, long number, long first, long last, String format, OutputStream output)
      throws IOException {
    OutputStream out = new BufferedOutputStream(output, 1 << 16);
    if (format.equals(CSV)) {
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
    public void entry(long position, Entry entry) throws IOException {
      csv.printRecord(
          number,
          position,
          "entry",
          manager,
          entry.epoch(),
          entry.sequence(),
          entry.task(),
          entry.tenant(),
          entry.grade(),
          entry.takenAt(),
          entry.endedAt(),
          entry.end(),
          entry.bytes(),
          entry.earningsMilli(),
          entry.uses().size(),
          entry.workNanos(true),
          entry.workNanos(true) - entry.workNanos(false),
          entry.memoryMbNanos(true),
          "",
          "",
          "",
          "",
          "");
    }

    @Override
    public void amendment(long position, Amendment amendment) throws IOException {
      csv.printRecord(
          number,
          position,
          amendment.withdraws() ? "withdrawal" : "amendment",
          manager,
          "",
          amendment.number(),
          "",
          amendment.tenant(),
          "",
          amendment.createdAt(),
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          amendment.period(),
          amendment.amount().toPlainString(),
          amendment.corrects(),
          amendment.author(),
          amendment.reason());
    }

    @Override
    public void gap(long position, Gap gap) throws IOException {
      csv.printRecord(
          number,
          position,
          "gap",
          manager,
          gap.epoch(),
          gap.number(),
          "",
          "",
          "",
          gap.from(),
          gap.until(),
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          "",
          gap.firstSequence() + "-" + gap.lastSequence(),
          "",
          gap.lines() + " lines: " + gap.cause());
    }
  }

  /** Writes each line as a protobuf message, preceded by its length. */
  private record ProtobufLineWriter(OutputStream out) implements LedgerStore.LineVisitor {

    @Override
    public void entry(long position, Entry entry) throws IOException {
      tansytrack.ledger.proto.Entry.Builder builder =
          tansytrack.ledger.proto.Entry.newBuilder()
              .setEpoch(entry.epoch())
              .setSequence(entry.sequence())
              .setTask(entry.task())
              .setTenant(entry.tenant())
              .setGrade(entry.grade())
              .setTakenAtNs(entry.takenAt())
              .setEndedAtNs(entry.endedAt())
              .setEnd(entry.end().name())
              .setReturnedBytes(entry.bytes())
              .setEarningsMilli(entry.earningsMilli());
      for (Use use : entry.uses()) {
        builder.addForwards(
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
      Line.newBuilder().setPosition(position).setEntry(builder).build().writeDelimitedTo(out);
    }

    @Override
    public void amendment(long position, Amendment amendment) throws IOException {
      Line.newBuilder()
          .setPosition(position)
          .setAmendment(
              tansytrack.ledger.proto.Amendment.newBuilder()
                  .setNumber(amendment.number())
                  .setPeriod(amendment.period())
                  .setTenant(amendment.tenant())
                  .setAmount(amendment.amount().toPlainString())
                  .setAuthor(amendment.author())
                  .setReason(amendment.reason())
                  .setCorrects(amendment.corrects())
                  .setAtNs(amendment.createdAt())
                  .setWithdraws(amendment.withdraws()))
          .build()
          .writeDelimitedTo(out);
    }

    @Override
    public void gap(long position, Gap gap) throws IOException {
      Line.newBuilder()
          .setPosition(position)
          .setGap(
              tansytrack.ledger.proto.Gap.newBuilder()
                  .setEpoch(gap.epoch())
                  .setNumber(gap.number())
                  .setFirstSequence(gap.firstSequence())
                  .setLastSequence(gap.lastSequence())
                  .setFromNs(gap.from())
                  .setUntilNs(gap.until())
                  .setLines(gap.lines())
                  .setCause(gap.cause()))
          .build()
          .writeDelimitedTo(out);
    }
  }

  /**
   * Reads an exported batch in the protobuf format and returns its head.
   *
   * @param visitorFor returns the visitor for the lines of a manager, by its name
   */
  static BatchHead readBatch(
      InputStream input, Function<String, LedgerStore.LineVisitor> visitorFor) throws IOException {
    BatchHead head = BatchHead.parseDelimitedFrom(input);
    if (head == null || head.getManager().isEmpty() || head.getLines() < 1) {
      throw new IOException("is not an exported batch");
    }
    LedgerStore.LineVisitor visitor = visitorFor.apply(head.getManager());
    for (long i = 0; i < head.getLines(); i++) {
      Line line = Line.parseDelimitedFrom(input);
      if (line == null) {
        throw new IOException("ends after " + i + " of " + head.getLines() + " lines");
      }
      if (line.hasEntry()) {
        visitor.entry(line.getPosition(), parseEntry(line.getEntry()));
      } else if (line.hasAmendment()) {
        tansytrack.ledger.proto.Amendment one = line.getAmendment();
        visitor.amendment(
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
        visitor.gap(
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

  private static Entry parseEntry(tansytrack.ledger.proto.Entry message) throws IOException {
    List<Use> uses = new ArrayList<>(message.getForwardsCount());
    for (Forward use : message.getForwardsList()) {
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
          message.getEpoch(),
          message.getSequence(),
          message.getTask(),
          message.getTenant(),
          message.getGrade(),
          message.getTakenAtNs(),
          message.getEndedAtNs(),
          TaskEnd.valueOf(message.getEnd()),
          message.getReturnedBytes(),
          message.getEarningsMilli(),
          uses);
    } catch (IllegalArgumentException e) {
      throw new IOException("has an entry with the unknown end '" + message.getEnd() + "'", e);
    }
  }
}
