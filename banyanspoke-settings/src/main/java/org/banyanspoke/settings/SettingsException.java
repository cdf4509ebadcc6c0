package org.banyanspoke.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for invalid settings. Contains all faults that were found. */
public class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * @param faults all faults in the order in which they were found, at least one
     */
    public SettingsException(List<SettingsFault> faults) {
        super(formatMessage(faults));
        this.faults = List.copyOf(faults);
    }

    public List<SettingsFault> faults() {
        return faults;
    }

    private static String formatMessage(List<SettingsFault> faults) {
        String count = faults.size() == 1 ? "1 fault" : faults.size() + " faults";
        return faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n  ", count + ":\n  ", ""));
    }
}
