package tansytrack.lab.scale;

/** One forward of a statement to an engine. */
final class Attempt {

  final HollowManager manager;
  final int managerInstanceId; // of the manager that sent it
  final Statement statement;
  final int index;
  final HollowEngine engine;
  final String id;

  /** Its outcome is decided, though the manager may not have heard of it yet. */
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
