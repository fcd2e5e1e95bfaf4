import { writeFileSync } from "node:fs";
import { formatReference } from "./formatReference.js";
import { referenceFile } from "./referenceFile.js";

// Regenerates the reference page: `npm run reference`.
writeFileSync(referenceFile, formatReference());
