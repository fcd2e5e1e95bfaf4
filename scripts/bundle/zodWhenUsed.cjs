// Loads zod in the bundle when it is first used. Only processes that hold a lease or report usage parse with it.
Object.defineProperty(exports, "z", { enumerable: true, get: () => require("zod/v4") });
