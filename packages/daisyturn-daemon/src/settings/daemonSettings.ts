import { checkTogether } from "./checkTogether.js";
import { settingsSections } from "./settingsSections.js";

export type { DaemonSettings, SecretSource, TlsFiles } from "./settingsSections.js";

/** Schema of the daemon's settings file: each option by itself, and what must hold between options. */
export const daemonSettingsSchema = settingsSections.superRefine(checkTogether);
