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

/** The command group `fleet`: what a running manager knows of the others. */
public final class FleetCommands {

  private static final int TIMEOUT_MS = 3000;

  private FleetCommands() {}

  /** The group. */
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
      return "fleet: what a running manager knows of the others. Commands: show.";
    }

    @Override
    protected Command subcommand() {
      return command;
    }
  }

  /** Asks one. */
  public static final class Show extends ErrorReportingCommand {
    @Argument(
        required = true,
        metaVar = "ADDRESS",
        usage = "the listener of a running manager, as in 127.0.0.1:6565")
    private String at;

    @Option(name = "--json", usage = "as a JSON object instead of a table")
    private boolean json;

    @Override
    public String description() {
      return "fleet show: its members as that manager sees them, itself first. Exit code 1: it"
          + " keeps in touch with nobody; 2: it\n"
          + "cannot be asked.";
    }

    @Override
    protected int execute() throws IOException {
      int colon = at.lastIndexOf(':');
      if (colon < 1 || !at.substring(colon + 1).matches("[0-9]{1,5}")) {
        throw new InvalidInputException(
            "'" + at + "'; allowed: an address with a port, as in 127.0.0.1:6565");
      }
      LabClient.Answer answer;
      try (LabClient client =
          new LabClient(
              new InetSocketAddress(
                  at.substring(0, colon), Integer.parseInt(at.substring(colon + 1))),
              TIMEOUT_MS)) {
        answer = client.query("SHOW FLEET");
      } catch (IOException e) {
        throw new IOException(at + " cannot be asked: " + e.getMessage(), e);
      }
      if (!answer.handled()) {
        System.err.println(
            "tansytrack: "
                + at
                + " keeps in touch with no others: its operators' file has no fleet section");
        return EXIT_DIFFERENCE;
      }
      System.out.print(json ? object(answer) : table(answer));
      return 0;
    }

    private static String table(LabClient.Answer answer) {
      StringBuilder text = new StringBuilder();
      int[] widths = new int[answer.columns().size()];
      for (int i = 0; i < widths.length; i++) {
        widths[i] = answer.columns().get(i).length();
        for (List<String> row : answer.cells()) {
          widths[i] = Math.max(widths[i], row.get(i).length());
        }
      }
      line(text, answer.columns(), widths);
      answer.cells().forEach(row -> line(text, row, widths));
      return text.toString();
    }

    private static void line(StringBuilder text, List<String> cells, int[] widths) {
      for (int i = 0; i < widths.length; i++) {
        text.append(i > 0 ? "  " : "")
            .append(
                i == widths.length - 1
                    ? cells.get(i)
                    : String.format("%-" + widths[i] + "s", cells.get(i)));
      }
      text.append('\n');
    }

    private static String object(LabClient.Answer answer) {
      StringBuilder text = new StringBuilder("{\"members\":[");
      for (int i = 0; i < answer.rowCount(); i++) {
        text.append(i > 0 ? "," : "").append('{');
        for (int j = 0; j < answer.columns().size(); j++) {
          String cell = answer.cells().get(i).get(j);
          boolean figure =
              cell.matches("[0-9]{1,18}")
                  && !answer.columns().get(j).matches("name|place|version|settings");
          text.append(j > 0 ? "," : "")
              .append(JsonLinesWriter.quote(answer.columns().get(j)))
              .append(':')
              .append(figure ? cell : JsonLinesWriter.quote(cell));
        }
        text.append('}');
      }
      return text.append("]}\n").toString();
    }
  }
}
