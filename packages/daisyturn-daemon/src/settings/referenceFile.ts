import { fileURLToPath } from "node:url";

/** The committed reference page. */
export const referenceFile = fileURLToPath(new URL("../../../../docs/reference/settings.md", import.meta.url));
