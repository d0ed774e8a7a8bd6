package whinlead.testbed.mesh.scale;

import java.util.Arrays;
import java.util.Locale;

/**
 * Ordinary least squares of a figure on a polynomial of one size: the coefficients, each with its standard error, and
 * the standard deviation of the residuals. Pure; for any thread.
 *
 * @param coefficients of the powers of the size, from 0 on
 * @param errors the coefficients' standard errors, in their units; NaN where no point is to spare
 * @param residual standard deviation of what the fit leaves, in the figure's unit
 */
public record Fit(double[] coefficients, double[] errors, double residual) {

    /**
     * Fits a polynomial.
     *
     * @param degree 1 for a line
     * @throws IllegalArgumentException if there are fewer points than coefficients, or sizes are alike
     */
    public static Fit of(double[] sizes, double[] figures, int degree) {
        int n = sizes.length;
        int k = degree + 1;
        if (n != figures.length || n < k) {
            throw new IllegalArgumentException(k + " points at least, as many figures as sizes");
        }
        double[][] normal = new double[k][2 * k];
        double[] right = new double[k];
        for (int p = 0; p < n; p++) {
            for (int i = 0; i < k; i++) {
                right[i] += Math.pow(sizes[p], i) * figures[p];
                for (int j = 0; j < k; j++) {
                    normal[i][j] += Math.pow(sizes[p], i + j);
                }
            }
        }
        double[][] inverse = inverse(normal, k);
        double[] b = new double[k];
        for (int i = 0; i < k; i++) {
            for (int j = 0; j < k; j++) {
                b[i] += inverse[i][j] * right[j];
            }
        }
        double squares = 0;
        for (int p = 0; p < n; p++) {
            double left = figures[p] - at(b, sizes[p]);
            squares += left * left;
        }
        double residual = n > k ? Math.sqrt(squares / (n - k)) : Double.NaN;
        double[] errors = new double[k];
        for (int i = 0; i < k; i++) {
            errors[i] = residual * Math.sqrt(inverse[i][i]);
        }
        return new Fit(b, errors, residual);
    }

    // Gauss and Jordan with row exchanges; the right half of the rows becomes the inverse.
    private static double[][] inverse(double[][] m, int k) {
        for (int i = 0; i < k; i++) {
            m[i][k + i] = 1;
        }
        for (int c = 0; c < k; c++) {
            int best = c;
            for (int r = c + 1; r < k; r++) {
                best = Math.abs(m[r][c]) > Math.abs(m[best][c]) ? r : best;
            }
            double[] row = m[best];
            m[best] = m[c];
            m[c] = row;
            double pivot = row[c];
            if (Math.abs(pivot) < 1e-9) {
                throw new IllegalArgumentException("the sizes don't tell the coefficients apart");
            }
            for (int j = 0; j < 2 * k; j++) {
                row[j] /= pivot;
            }
            for (int r = 0; r < k; r++) {
                double times = m[r][c];
                for (int j = 0; r != c && j < 2 * k; j++) {
                    m[r][j] -= times * row[j];
                }
            }
        }
        return Arrays.stream(m).map(r -> Arrays.copyOfRange(r, k, 2 * k)).toArray(double[][]::new);
    }

    private static double at(double[] b, double size) {
        double sum = 0;
        for (int i = b.length - 1; i >= 0; i--) {
            sum = sum * size + b[i];
        }
        return sum;
    }

    /** The fit's figure at a size. */
    public double at(double size) {
        return at(coefficients, size);
    }

    /** The formula, as in {@code 1.2 (0.1) + 0.03 (0.002) N, residual 0.2}; errors stand in brackets. */
    public String formula(String size) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < coefficients.length; i++) {
            text.append(i == 0 ? "" : " + ")
                    .append(String.format(Locale.ROOT, "%.4g (%.2g)", coefficients[i], errors[i]))
                    .append(i == 0 ? "" : i == 1 ? " " + size : " " + size + "^" + i);
        }
        return text.append(String.format(Locale.ROOT, ", residual %.2g", residual))
                .toString();
    }
}
