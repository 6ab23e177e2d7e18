package tansytrack.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The tasks that must not be executed again although their clients may send them again under the
 * same id: those that an engine may have executed. The oldest are forgotten beyond a number of
 * tasks.
 */
public final class ExecutedTasks {

  private static final int MAX_TASKS = 1 << 14;

  private final Map<String, Boolean> ids =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_TASKS;
        }
      };

  /** Records that an engine may execute a task from now on. */
  public void add(String id) {
    ids.put(id, Boolean.TRUE);
  }

  /** Records that no engine has executed a task. */
  public void remove(String id) {
    ids.remove(id);
  }

  /** Whether an engine may have executed a task. */
  public boolean contains(String id) {
    return ids.containsKey(id);
  }
}
