package tansytrack.service;

import java.io.IOException;
import java.lang.reflect.AnnotatedElement;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tansytrack.api.DigestName;
import tansytrack.fleet.udp.UdpMembership;
import tansytrack.ledger.disk.LedgerRecorder;
import tansytrack.log.Event;
import tansytrack.operator.OperatorFile;
import tansytrack.settings.InvalidInputException;
import tansytrack.settings.ManagerConfig;

/** Creates the features that the operator file switches on; loaded only if there is such a file. */
final class OperatorFeatures {

  private static final int DIGEST_BYTES = 6;

  private OperatorFeatures() {}

  /** Reads the file. Must run before the first line is logged, as it selects the log's format. */
  static Service.OptionalFeatures load(String file) {
    OperatorFile operatorFile = OperatorFile.read(file);
    if (operatorFile.jsonLines()) {
      Event.useJsonLines();
    }
    return new Service.OptionalFeatures(
        taskListenerFactory(file, operatorFile.ledger()),
        peerManagersFactory(file, operatorFile.fleet()));
  }

  private static Service.TaskListenerFactory taskListenerFactory(
      String file, OperatorFile.LedgerSection ledger) {
    if (ledger == null) {
      return Service.TaskListenerFactory.NONE;
    }
    return (config, timers, eventQueue) -> {
      try {
        return LedgerRecorder.start(
            ledger, config.name(), config.settings().queryClasses(), timers, eventQueue);
      } catch (IOException e) {
        throw new InvalidInputException(file + ": ledger: " + e.getMessage());
      }
    };
  }

  private static Service.PeerManagersFactory peerManagersFactory(
      String file, OperatorFile.FleetSection fleet) {
    if (fleet == null) {
      return Service.PeerManagersFactory.NONE;
    }
    return (config, managerCountConsumer) -> {
      String name = fleet.name().isEmpty() ? config.name() : fleet.name();
      if (fleet.peers().stream().anyMatch(peer -> peer.name().equals(name))) {
        throw new InvalidInputException(
            file
                + ": fleet: peers: '"
                + name
                + "' is this manager's own name; allowed: the names of the others");
      }
      String version = OperatorFeatures.class.getPackage().getImplementationVersion();
      try {
        return UdpMembership.start(
            fleet,
            name,
            version == null ? "unpackaged" : version,
            digest(config),
            config.settings().managerCount(),
            managerCountConsumer);
      } catch (IOException e) {
        throw new InvalidInputException(file + ": fleet: " + e.getMessage());
      }
    };
  }

  /**
   * Returns a digest of the settings, which is the same for all managers with equal settings,
   * whatever the iteration order of their sets and maps.
   */
  static String digest(ManagerConfig config) {
    try {
      byte[] all =
          MessageDigest.getInstance("SHA-256")
              .digest(plain(config.settings().withSeed(0)).getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(all, 0, DIGEST_BYTES);
    } catch (ReflectiveOperationException | NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java has the one, and settings are public records
    }
  }

  private static String plain(Object value) throws ReflectiveOperationException {
    List<String> parts = new ArrayList<>();
    if (value instanceof Record) {
      for (RecordComponent one : value.getClass().getRecordComponents()) {
        parts.add(digestName(one, one.getName()) + '=' + plain(one.getAccessor().invoke(value)));
      }
    } else if (value instanceof Map<?, ?> map) {
      for (Map.Entry<?, ?> one : map.entrySet()) {
        parts.add(one.getKey() + "=" + plain(one.getValue()));
      }
      Collections.sort(parts);
    } else if (value instanceof Collection<?> all) {
      for (Object one : all) {
        parts.add(plain(one));
      }
      if (value instanceof Set) {
        Collections.sort(parts);
      }
    } else if (value instanceof Enum<?> one) {
      return digestName(one.getDeclaringClass().getField(one.name()), one.name());
    } else {
      return String.valueOf(value);
    }
    return parts.toString();
  }

  /** Returns the name under which a component or constant enters the digest. */
  private static String digestName(AnnotatedElement element, String name) {
    DigestName outer = element.getAnnotation(DigestName.class);
    return outer == null ? name : outer.value();
  }

  /** Reads the file and returns a summary of what it switches on; opens nothing. */
  static String summary(String file) {
    OperatorFile operatorFile = OperatorFile.read(file);
    OperatorFile.LedgerSection ledger = operatorFile.ledger();
    OperatorFile.FleetSection fleet = operatorFile.fleet();
    String summary =
        (ledger == null
                ? ""
                : "; ledger in "
                    + ledger.folder()
                    + ", "
                    + ledger.rates().rates().size()
                    + " rates, answers "
                    + (ledger.answersAfterCommit() ? "after commit" : "at once"))
            + (fleet == null
                ? ""
                : "; fleet of " + (fleet.peers().size() + 1) + " at " + fleet.address());
    return summary.isEmpty() ? "; no optional feature is switched on" : summary;
  }
}
