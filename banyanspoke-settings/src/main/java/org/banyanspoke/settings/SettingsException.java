package org.banyanspoke.settings;

import java.util.List;
import java.util.stream.Collectors;

/** The settings cannot be used. Carries every fault that was found. */
public class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * @param faults all faults in the order of the file, at least one
     */
    public SettingsException(List<SettingsFault> faults) {
        super(report(faults));
        this.faults = List.copyOf(faults);
    }

    /** Returns all faults. */
    public List<SettingsFault> faults() {
        return faults;
    }

    private static String report(List<SettingsFault> faults) {
        String count = faults.size() == 1 ? "1 fault" : faults.size() + " faults";
        return faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n  ", count + ":\n  ", ""));
    }
}
