package tansytrack;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import tansytrack.command.Command;
import tansytrack.command.CommandGroup;
import tansytrack.command.ErrorReportingCommand;
import tansytrack.lab.LabClient;
import tansytrack.log.JsonLinesWriter;
import tansytrack.settings.InvalidInputException;

/** The command group {@code fleet}: the membership as a running manager sees it. */
public final class FleetCommands {

  private static final int TIMEOUT_MS = 3000;

  private FleetCommands() {}

  /** The command group. */
  public static final class All extends CommandGroup {
    @Argument(
        required = true,
        metaVar = "COMMAND",
        handler = SubCommandHandler.class,
        usage = "show")
    @SubCommands({@SubCommand(name = "show", impl = Show.class)})
    private Command command;

    @Override
    public String description() {
      return "fleet: the membership as a running manager sees it. Commands: show.";
    }

    @Override
    protected Command subcommand() {
      return command;
    }
  }

  /** Asks a running manager for its members. */
  public static final class Show extends ErrorReportingCommand {
    @Argument(
        required = true,
        metaVar = "ADDRESS",
        usage = "the address of a running manager's listener, as in 127.0.0.1:6565")
    private String address;

    @Option(name = "--json", usage = "print a JSON object instead of a table")
    private boolean json;

    @Override
    public String description() {
      return "fleet show: lists the members that the manager knows, itself first. Exit code 1: the"
          + " manager has no fleet section;\n"
          + "2: it cannot be asked.";
    }

    @Override
    protected int execute() throws IOException {
      int colon = address.lastIndexOf(':');
      if (colon < 1 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
        throw new InvalidInputException(
            "'" + address + "'; allowed: an address with a port, as in 127.0.0.1:6565");
      }
      LabClient.Answer answer;
      try (LabClient client =
          new LabClient(
              new InetSocketAddress(
                  address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
              TIMEOUT_MS)) {
        answer = client.query("SHOW FLEET");
      } catch (IOException e) {
        throw new IOException(address + " cannot be asked: " + e.getMessage(), e);
      }
      if (!answer.handled()) {
        System.err.println(
            "tansytrack: "
                + address
                + " has no membership: its operator's file has no fleet section");
        return EXIT_DIFFERENCE;
      }
      System.out.print(json ? toJson(answer) : toTable(answer));
      return 0;
    }

    private static String toTable(LabClient.Answer answer) {
      StringBuilder text = new StringBuilder();
      int[] widths = new int[answer.columns().size()];
      for (int i = 0; i < widths.length; i++) {
        widths[i] = answer.columns().get(i).length();
        for (List<String> row : answer.cells()) {
          widths[i] = Math.max(widths[i], row.get(i).length());
        }
      }
      appendRow(text, answer.columns(), widths);
      answer.cells().forEach(row -> appendRow(text, row, widths));
      return text.toString();
    }

    private static void appendRow(StringBuilder text, List<String> cells, int[] widths) {
      for (int i = 0; i < widths.length; i++) {
        text.append(i > 0 ? "  " : "")
            .append(
                i == widths.length - 1
                    ? cells.get(i)
                    : String.format("%-" + widths[i] + "s", cells.get(i)));
      }
      text.append('\n');
    }

    private static String toJson(LabClient.Answer answer) {
      StringBuilder text = new StringBuilder("{\"members\":[");
      for (int i = 0; i < answer.rowCount(); i++) {
        text.append(i > 0 ? "," : "").append('{');
        for (int j = 0; j < answer.columns().size(); j++) {
          String cell = answer.cells().get(i).get(j);
          boolean isNumber =
              cell.matches("[0-9]{1,18}")
                  && !answer.columns().get(j).matches("name|place|version|settings");
          text.append(j > 0 ? "," : "")
              .append(JsonLinesWriter.quote(answer.columns().get(j)))
              .append(':')
              .append(isNumber ? cell : JsonLinesWriter.quote(cell));
        }
        text.append('}');
      }
      return text.append("]}\n").toString();
    }
  }
}
