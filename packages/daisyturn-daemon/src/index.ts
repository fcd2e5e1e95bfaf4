export { createEntryProcess, type EntryAddresses, type EntryProcess } from "./entry/createEntryProcess.js";
export { EntryPolicies, StandardPolicies } from "./entry/entryPolicies.js";
export { serveEntryProcess } from "./entry/serveEntryProcess.js";
export { createSettingsReader, type SettingsReader } from "./settings/createSettingsReader.js";
export { type DaemonSettings, daemonSettingsSchema } from "./settings/daemonSettings.js";
export { daemonSettingsReader, loadDaemonSettings } from "./settings/loadDaemonSettings.js";
export { findNearestName } from "./settings/nearestName.js";
export { describeOption, secretOption, textOption, tlsOption } from "./settings/optionTypes.js";
export { readSecret, readTlsFiles, type TlsTexts } from "./settings/readSecret.js";
