import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What the cases share: folders, the record, exit codes. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  Path root;
  Path temporary;
  Recorder record;

  /** Plays the case; returns HELD or BROKEN. */
  abstract int play() throws Exception;

  /** Runs a case in the folder of its script, the first argument. */
  static void run(Case play, String[] args) throws IOException {
    Path folder = Path.of(args[0]).toAbsolutePath();
    int code = COULD_NOT_RUN;
    play.root = folder.getParent().getParent();
    play.temporary = Files.createTempDirectory("review");
    try (Recorder record = new Recorder(folder.resolve("record.txt"))) {
      play.record = record;
      record.line("trouble: %s", play.trouble ? "yes" : "no");
      try {
        code = play.play();
      } catch (Exception e) {
        record.line("the case could not run: %s", e);
        e.printStackTrace();
      }
      record.line("exit code %d", code);
    }
    try (Stream<Path> files = Files.walk(play.temporary)) {
      List<Path> all = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : all) {
        Files.deleteIfExists(file);
      }
    }
    System.out.println(
        code == HELD ? "held" : code == BROKEN ? "BROKEN" : "could not run");
    System.exit(code); // runs the hooks that end all processes
  }
}
