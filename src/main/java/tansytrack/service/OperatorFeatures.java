package tansytrack.service;

import java.io.IOException;
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
import tansytrack.fleet.udp.UdpMembership;
import tansytrack.ledger.disk.LedgerRecorder;
import tansytrack.log.Event;
import tansytrack.operator.OperatorFile;
import tansytrack.settings.InvalidInputException;
import tansytrack.settings.ManagerConfig;

/** What the operators' file switches on; loaded only where there is one. */
final class OperatorFeatures {

  private static final int DIGEST_BYTES = 6;

  private OperatorFeatures() {}

  /** Reads the file; before the first line is logged, as it chooses their form. */
  static Service.OptionalFeatures load(String file) {
    OperatorFile all = OperatorFile.read(file);
    if (all.jsonLines()) {
      Event.useJsonLines();
    }
    return new Service.OptionalFeatures(
        taskListenerFactory(file, all.ledger()), peerManagersFactory(file, all.fleet()));
  }

  private static Service.TaskListenerFactory taskListenerFactory(
      String file, OperatorFile.LedgerSection ledger) {
    if (ledger == null) {
      return Service.TaskListenerFactory.NONE;
    }
    return (config, timers, inbox) -> {
      try {
        return LedgerRecorder.start(
            ledger, config.name(), config.settings().queryClasses(), timers, inbox);
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
    return (config, count) -> {
      String name = fleet.name().isEmpty() ? config.name() : fleet.name();
      if (fleet.peers().stream().anyMatch(peer -> peer.name().equals(name))) {
        throw new InvalidInputException(
            file
                + ": fleet: peers: '"
                + name
                + "' is this manager's own name; allowed: the others");
      }
      String version = OperatorFeatures.class.getPackage().getImplementationVersion();
      try {
        return UdpMembership.start(
            fleet,
            name,
            version == null ? "unpackaged" : version,
            digest(config),
            config.settings().managerCount(),
            count);
      } catch (IOException e) {
        throw new InvalidInputException(file + ": fleet: " + e.getMessage());
      }
    };
  }

  /**
   * Of the settings, alike for all managers that were told the same, in whatever order their sets
   * stand.
   */
  private static String digest(ManagerConfig config) {
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
        parts.add(one.getName() + '=' + plain(one.getAccessor().invoke(value)));
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
    } else {
      return String.valueOf(value);
    }
    return parts.toString();
  }

  /** Reads it and says what is on; opens nothing. */
  static String summary(String file) {
    OperatorFile all = OperatorFile.read(file);
    OperatorFile.LedgerSection ledger = all.ledger();
    OperatorFile.FleetSection fleet = all.fleet();
    String said =
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
    return said.isEmpty() ? "; nothing more is switched on" : said;
  }
}
