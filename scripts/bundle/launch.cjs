// The program that deploy/system.toml starts.
require("./loadBundle.cjs").loadBundle().entry.runEntry();
