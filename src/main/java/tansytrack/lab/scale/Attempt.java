package tansytrack.lab.scale;

/** One forward of a statement to an engine, with its place among the forwards of the statement. */
final class Attempt {

  final HollowManager manager;

  /** The instance of the manager that sent it; a restarted manager ignores earlier instances. */
  final int managerInstanceId;

  final Statement statement;
  final int index;
  final HollowEngine engine;
  final String id;

  /** Whether the outcome is decided; the manager may not have received it yet. */
  boolean ended;

  Attempt(
      HollowManager manager,
      int managerInstanceId,
      Statement statement,
      int index,
      HollowEngine engine) {
    this.manager = manager;
    this.managerInstanceId = managerInstanceId;
    this.statement = statement;
    this.index = index;
    this.engine = engine;
    id = statement.id + '/' + index;
  }
}
