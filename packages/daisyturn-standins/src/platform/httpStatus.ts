/** HTTP status codes of the platform's stand-in. */
export enum HttpStatus {
    Ok = 200,
    NotFound = 404,
    TooManyRequests = 429,
    Unavailable = 503,
}
