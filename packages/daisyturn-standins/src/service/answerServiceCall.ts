/**
 * Creates the answer to a call. The answers to `confirm` and `issue`, which must not run twice, contain the number of
 * the execution, so that two executions of one call give different answers. Other answers depend on the request alone.
 */
export function answerServiceCall(serviceId: string, execution: number, url: URL, body: string): object {
    const [, call = "", ...rest] = url.pathname.split("/");
    switch (call) {
        case "confirm":
            return { confirmation: `${serviceId}-${execution}`, quote: body };
        case "issue":
            return { ticket: `${serviceId}-${execution}`, code: `QR:${body}` };
        case "reprint":
            return { reprint: rest.join("/") + url.search };
        default:
            return { found: url.pathname + url.search };
    }
}
