import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { Service, ServiceRoute } from "../version/configurationItems.js";

/** Path under which plain services are served. */
export const servicePathPrefix = "/services/";

/** Parts of a path under the prefix. */
export interface ServicePath {
    readonly serviceName: string;
    /** The rest after the name, with a leading slash. */
    readonly path: string;
}

/**
 * Parts of a path that a target may interpret differently than this process, so that it runs the call under another
 * route: dot segments, empty segments, backslashes, encoded slashes and dots, and parameters after a semicolon.
 */
const ambiguousPattern = /\/\.{1,2}(\/|$)|\/\/|\\|;|%(2e|2f|5c|3b|00)/i;

/** Splits `/services/NAME/REST` into the name and `/REST`. */
export function splitServicePath(fullPath: string): Result<ServicePath, Failure> {
    if (ambiguousPattern.test(fullPath)) {
        return err(notRun(FailureReason.BadRequest, "The path must be written in its plain form."));
    }
    const rest = fullPath.slice(servicePathPrefix.length);
    const slash = rest.indexOf("/");
    return ok(
        slash < 0
            ? { serviceName: rest, path: "/" }
            : { serviceName: rest.slice(0, slash), path: rest.slice(slash) },
    );
}

/** Whether a call is idempotent according to the route with the longest matching prefix. */
export function isIdempotentCall(service: Service, method: string, path: string): boolean {
    const routes = (service.routes ?? []).filter(route => route.method === method && isUnder(path, route.pathPrefix));
    const longest = routes.reduce<ServiceRoute | undefined>(
        (best, route) => best && best.pathPrefix.length >= route.pathPrefix.length ? best : route,
        undefined,
    );
    return longest?.idempotent ?? false;
}

/** A prefix matches whole segments only: `/quotes` does not match `/quotes-confirm`. */
function isUnder(path: string, prefix: string): boolean {
    return path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}
