/** A plane fitted to measured points: `constant + sum(slopes[i] * inputs[i])`. */
export interface Fit {
    readonly constant: number;
    readonly slopes: readonly number[];
    /** Root of the mean squared distance of the points from the plane, in the unit of the outputs. */
    readonly error: number;
}

/** One measured point. */
export interface Point {
    readonly inputs: readonly number[];
    readonly output: number;
}

/** With a smaller pivot, the inputs are treated as linearly dependent. */
const minPivot = 1e-9;

/** Fits a plane by least squares (normal equations). Throws if the points don't determine it. */
export function fitPlane(points: readonly Point[]): Fit {
    const rows = points.map(point => [1, ...point.inputs]);
    const size = rows[0]?.length ?? 0;
    const matrix = Array.from({ length: size }, (unused, left) => [
        ...Array.from({ length: size }, (unusedToo, right) => sum(rows.map(row => at(row, left) * at(row, right)))),
        sum(rows.map((row, index) => at(row, left) * (points[index]?.output ?? 0))),
    ]);
    const [constant = 0, ...slopes] = solve(matrix);
    const residuals = points.map(point => predict({ constant, slopes, error: 0 }, point.inputs) - point.output);
    return { constant, slopes, error: Math.sqrt(sum(residuals.map(residual => residual * residual)) / points.length) };
}

/** Returns the value of the plane at the given inputs. */
export function predict(fit: Fit, inputs: readonly number[]): number {
    return fit.constant + sum(fit.slopes.map((slope, index) => slope * at(inputs, index)));
}

/** Gaussian elimination with partial pivoting. The last column is the right-hand side. */
function solve(matrix: number[][]): number[] {
    const size = matrix.length;
    for (let column = 0; column < size; column++) {
        swapInLargestPivot(matrix, column);
        const pivotRow = matrix[column] ?? [];
        if (Math.abs(at(pivotRow, column)) < minPivot) {
            throw new Error("the measured points do not determine the plane");
        }
        for (let row = 0; row < size; row++) {
            if (row !== column) {
                subtract(matrix[row] ?? [], pivotRow, at(matrix[row] ?? [], column) / at(pivotRow, column));
            }
        }
    }
    return matrix.map((row, index) => at(row, size) / at(row, index));
}

function swapInLargestPivot(matrix: number[][], column: number): void {
    let largest = column;
    for (let row = column + 1; row < matrix.length; row++) {
        if (Math.abs(at(matrix[row] ?? [], column)) > Math.abs(at(matrix[largest] ?? [], column))) {
            largest = row;
        }
    }
    const previousRow = matrix[column] ?? [];
    matrix[column] = matrix[largest] ?? [];
    matrix[largest] = previousRow;
}

function subtract(row: number[], pivotRow: readonly number[], factor: number): void {
    row.forEach((value, index) => {
        row[index] = value - factor * at(pivotRow, index);
    });
}

function at(values: readonly number[], index: number): number {
    return values[index] ?? 0;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
