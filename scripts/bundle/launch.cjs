// Main program of the bundled entry process; deploy/system.toml starts it.
require("./loadBundle.cjs").loadBundle().entry.runEntry();
