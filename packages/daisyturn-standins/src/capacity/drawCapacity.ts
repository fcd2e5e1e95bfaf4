import type { CellCost } from "./measureCell.js";

const width = 640;
const height = 320;
const margin = 48;
const colours = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#8c564b"];

/** Draws the processor share over the number of nodes as SVG, with one line per number of engines. */
export function drawCapacity(costs: readonly CellCost[]): string {
    const engineCounts = [...new Set(costs.map(cost => cost.engines))];
    const max = { nodes: Math.max(...costs.map(cost => cost.nodes)), percent: Math.max(...costs.map(readPercent)) };
    const formatPoint = (cost: CellCost) => {
        const x = margin + cost.nodes / max.nodes * (width - 2 * margin);
        const y = height - margin - cost.processorPercent / max.percent * (height - 2 * margin);
        return `${x.toFixed(1)},${y.toFixed(1)}`;
    };
    const lines = engineCounts.map((engines, index) => {
        const colour = colours[index % colours.length];
        const points = costs.filter(cost => cost.engines === engines).sort((left, right) => left.nodes - right.nodes);
        const label = `<text x="${margin + 8}" y="${margin + 16 * index}" fill="${colour}">${engines} engines</text>`;
        return `<polyline fill="none" stroke="${colour}" points="${points.map(formatPoint).join(" ")}"/>${label}`;
    });
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<path d="M${margin} ${margin}V${height - margin}H${width - margin}" fill="none" stroke="black"/>`,
        `<text x="${margin}" y="${margin - 24}">processor share of one entry process at rest, most ${
            max.percent.toFixed(2)
        } % of a core</text>`,
        `<text x="${width - margin}" y="${height - margin + 20}" text-anchor="end">nodes, up to ${max.nodes}</text>`,
        ...lines,
        "</svg>",
        "",
    ].join("\n");
}

function readPercent(cost: CellCost): number {
    return cost.processorPercent;
}
