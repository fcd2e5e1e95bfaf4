import { checkCrossOptionRules } from "./checkCrossOptionRules.js";
import { settingsSections } from "./settingsSections.js";

export type { DaemonSettings, SecretSource, TlsFiles } from "./settingsSections.js";

/** Schema of the daemon's settings file: the rules of each option and those that involve several options. */
export const daemonSettingsSchema = settingsSections.superRefine(checkCrossOptionRules);
