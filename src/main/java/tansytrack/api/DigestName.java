package tansytrack.api;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name under which a record component or enum constant enters the digest of the settings. The
 * digest leaves the process, so it must stay the same when the name in the code changes.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface DigestName {
  /** Returns the name in the digest. */
  String value();
}
