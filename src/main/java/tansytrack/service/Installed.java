package tansytrack.service;

import java.io.IOException;
import tansytrack.ledger.disk.Recorder;
import tansytrack.log.Event;
import tansytrack.operator.OperatorFile;
import tansytrack.settings.Unusable;
import tansytrack.state.TaskWatch;

/** What the operators' file switches on; loaded only where there is one. */
final class Installed {

    private Installed() { }

    /** Reads the file; before the first line is logged, as it chooses their form. */
    static Service.WatchMaker watch(String file) {
        OperatorFile all = OperatorFile.read(file);
        if (all.jsonLines()) {
            Event.jsonLines();
        }
        OperatorFile.LedgerSection ledger = all.ledger();
        if (ledger == null) {
            return Service.WatchMaker.NONE;
        }
        return (config, timers, inbox) -> {
            try {
                return Recorder.start(ledger, config.name(), config.settings().grades(), timers, inbox);
            } catch (IOException e) {
                throw new Unusable(file + ": ledger: " + e.getMessage());
            }
        };
    }

    /** Reads it and says what is on; opens nothing. */
    static String said(String file) {
        OperatorFile.LedgerSection ledger = OperatorFile.read(file).ledger();
        return ledger == null ? "; nothing more is switched on" : "; ledger in " + ledger.folder() + ", "
                + ledger.rates().rates().size() + " rates, answers " + (ledger.afterCommit() ? "after commit" : "at once");
    }
}
