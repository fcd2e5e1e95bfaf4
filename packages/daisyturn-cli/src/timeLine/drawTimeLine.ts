import { formatEvent, formatFields } from "./formatEvent.js";
import type { TimedEvent } from "./timedEvent.js";

const laneHeight = 36;
const left = 120;
const width = 1_400;
const top = 40;
const dotRadius = 4;

/** Colors by the first word of the event's kind; other events are gray. */
const colorByFamily: Readonly<Record<string, string>> = {
    request: "#1f77b4",
    claim: "#17becf",
    configuration: "#2ca02c",
    lease: "#9467bd",
    order: "#ff7f0e",
    peer: "#8c564b",
    engine: "#bcbd22",
    role: "#e377c2",
    store: "#d62728",
    fault: "#d62728",
    out: "#d62728",
};

/** Draws events as a self-contained HTML page: an SVG with one lane per process, followed by a list of the events. */
export function drawTimeLine(events: readonly TimedEvent[]): string {
    const lanes = [...new Set(events.map(event => event.process))].sort();
    const begin = events[0]?.at ?? 0;
    const end = Math.max(begin + 1, events.at(-1)?.at ?? begin);
    const computeX = (at: number) => left + (at - begin) / (end - begin) * (width - left - dotRadius);
    const height = top + lanes.length * laneHeight + laneHeight;
    const laneMarks = lanes.map((lane, index) => drawLane(lane, top + index * laneHeight));
    const dots = events.map(event =>
        drawDot(event, computeX(event.at), top + lanes.indexOf(event.process) * laneHeight)
    );
    const rows = events.map(event => `<li>${escapeText(formatEvent(event))}</li>`);
    return [
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>daisyturn time line</title>",
        "<style>body{font-family:sans-serif}li{font-family:monospace;white-space:pre;list-style:none}ol{padding:0}</style>",
        "</head><body>",
        `<p>${events.length} events of ${lanes.length} processes over ${((end - begin) / 1_000).toFixed(1)} s.`,
        " Hold the pointer over a dot for its fields.</p>",
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-size="12">`,
        ...laneMarks,
        ...dots,
        "</svg><ol>",
        ...rows,
        "</ol></body></html>",
        "",
    ].join("\n");
}

function drawLane(lane: string, y: number): string {
    return `<text x="4" y="${y + dotRadius}">${escapeText(lane)}</text>`
        + `<path d="M${left} ${y}H${width}" stroke="#ddd"/>`;
}

function drawDot(event: TimedEvent, x: number, y: number): string {
    const family = event.kind.split("_")[0] ?? "";
    const color = colorByFamily[family] ?? "#7f7f7f";
    const title = escapeText(`${event.stamp} ${event.kind} ${formatFields(event)}`);
    return `<circle cx="${x.toFixed(1)}" cy="${y}" r="${dotRadius}" fill="${color}"><title>${title}</title></circle>`;
}

/** Escapes markup: log fields contain text from callers, which must not be interpreted as HTML. */
function escapeText(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll("\"", "&quot;");
}
