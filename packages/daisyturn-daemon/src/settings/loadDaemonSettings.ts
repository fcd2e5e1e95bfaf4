import { createSettingsReader } from "./createSettingsReader.js";
import { type DaemonSettings, daemonSettingsSchema } from "./daemonSettings.js";

/** Reader of the daemon's settings file. */
export const daemonSettingsReader = createSettingsReader(daemonSettingsSchema);

/**
 * Reads and validates a settings file.
 * @throws UserError for the first problem; its message lists the places of the others
 */
export function loadDaemonSettings(file: string): DaemonSettings {
    return daemonSettingsReader.load(file);
}
