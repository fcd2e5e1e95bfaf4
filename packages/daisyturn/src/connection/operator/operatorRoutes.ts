import type { Failure, JsonObject } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** The operator whose key authenticated a request. */
export interface OperatorIdentity {
    readonly partner: string;
    readonly name: string;
}

/** An operator as configured in the settings. */
export interface OperatorKey extends OperatorIdentity {
    /** SHA-256 of the key in hexadecimal digits. */
    readonly keyHash: string;
}

/** A request of an operator. */
export interface OperatorRequest {
    readonly operator: OperatorIdentity;
    /** Values of the path pattern's `:name` parts, decoded. */
    readonly parameters: Readonly<Record<string, string>>;
    readonly query: URLSearchParams;
    /** The parsed body; undefined where there is none. */
    readonly body: unknown;
}

/** Result of a handler: the body of the answer, or a failure that is sent as the body of an HTTP error. */
export type OperatorAnswer = Result<JsonObject, Failure>;

/** Handles the requests of one route. */
export type OperatorHandler = (request: OperatorRequest) => Promise<OperatorAnswer> | OperatorAnswer;

/** HTTP methods of the routes for operators. */
export enum OperatorMethod {
    Get = "GET",
    Put = "PUT",
    Post = "POST",
    Delete = "DELETE",
}

/** A route. Other modules pass theirs when the server is created. */
export interface OperatorRoute {
    readonly method: OperatorMethod;
    /** Such as `/v1/items/:kind/:name`. A part that begins with a colon matches any text without a slash. */
    readonly path: string;
    readonly handle: OperatorHandler;
}

/** Routes that a module offers to operators. */
export type OperatorRoutes = readonly OperatorRoute[];

/** The matching route and the values of its path parameters. */
export interface MatchedRoute {
    readonly route: OperatorRoute;
    readonly parameters: Readonly<Record<string, string>>;
}

/** Finds the first route for a method and path. */
export function matchRoute(routes: OperatorRoutes, method: string, path: string): MatchedRoute | undefined {
    for (const route of routes) {
        const parameters = route.method === method ? matchPath(route.path, path) : undefined;
        if (parameters) {
            return { route, parameters };
        }
    }
    return undefined;
}

function matchPath(pattern: string, path: string): Record<string, string> | undefined {
    const expected = pattern.split("/");
    const given = path.split("/");
    if (expected.length !== given.length) {
        return undefined;
    }
    const parameters: Record<string, string> = {};
    for (const [index, part] of expected.entries()) {
        const value = decodePart(given[index] ?? "");
        if (value === undefined) {
            return undefined;
        }
        if (part.startsWith(":")) {
            parameters[part.slice(1)] = value;
        }
        else if (part !== value) {
            return undefined;
        }
    }
    return parameters;
}

function decodePart(part: string): string | undefined {
    try {
        return decodeURIComponent(part);
    }
    catch {
        return undefined;
    }
}
