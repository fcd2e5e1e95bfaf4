/**
 * Whether the chunks of a body show its end. By RFC 9112, section 6.3, a body whose last coding is another one ends with its
 * connection.
 * @param coding the values of the field `Transfer-Encoding`
 */
export function isChunked(coding: string | readonly string[] | undefined): boolean {
    return String(coding ?? "").split(",").at(-1)?.trim().toLowerCase() === "chunked";
}
