package org.acaciaport.ctl;

import java.util.List;
import org.acaciaport.program.Settings;
import org.acaciaport.program.SettingsCheck;

/**
 * The settings of {@code acaciactl}.
 *
 * <p>Immutable.
 *
 * @param operator name of the operator, recorded with each published change
 * @param callers base URIs of the gateways' HTTP interface for callers; tried in order
 * @param operators base URIs of the gateways' HTTP interface for operators; tried in order
 * @param platform base URI of the platform's log
 */
public record CtlSettings(String operator, List<String> callers, List<String> operators, String platform)
        implements Settings.Checkable {
    /** Creates settings with immutable copies of the lists. */
    public CtlSettings {
        callers = List.copyOf(callers);
        operators = List.copyOf(operators);
    }

    @Override
    public void check(SettingsCheck check) {
        check.name("operator", operator);
        check.between("callers (count)", callers.size(), 1, 100);
        check.between("operators (count)", operators.size(), 1, 100);
        callers.forEach(uri -> check.uri("callers", uri));
        operators.forEach(uri -> check.uri("operators", uri));
        check.uri("platform", platform);
    }
}
