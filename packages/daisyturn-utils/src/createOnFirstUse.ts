/**
 * Returns a function that creates a value at its first call and returns the same value afterwards. For values that many
 * processes never need, such as schemas, whose library then stays unloaded.
 */
export function createOnFirstUse<Value extends object>(create: () => Value): () => Value {
    let created: Value | undefined;
    return () => created ??= create();
}
