// Main program of the bundled entry process; deploy/system.toml starts it.
const signals = require("./receiveSignals.cjs").receiveSignals();
// Loaded after the statement above: a signal that arrives while the program is loaded must not end it.
require("./loadBundle.cjs").loadBundle().entry.runEntry(signals);
