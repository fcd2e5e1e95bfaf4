import { createHash, timingSafeEqual } from "node:crypto";

/** Returns the SHA-256 of a text in lower-case hexadecimal digits. */
export function hashText(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/** Compares two texts in a time that does not depend on where they differ. */
export function equalInConstantTime(left: string, right: string): boolean {
    const leftBytes = Buffer.from(hashText(left));
    const rightBytes = Buffer.from(hashText(right));
    return timingSafeEqual(leftBytes, rightBytes);
}
