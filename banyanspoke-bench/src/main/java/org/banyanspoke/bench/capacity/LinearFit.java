package org.banyanspoke.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Least-squares fit of a figure.
 *
 * @param figure name of the figure
 * @param points number of points
 * @param intercept predicted value at 0
 * @param slope change per unit of the dimension
 * @param rSquare coefficient of determination; NaN if the figure does not vary
 * @param atDesignSize predicted value at the design size
 */
public record LinearFit(
        String figure, long points, double intercept, double slope, double rSquare, double atDesignSize) {
    /** Returns a fit for every figure that is present in at least 3 points, ordered by name. */
    public static List<LinearFit> of(List<CapacityPoint> points) {
        TreeSet<String> names = new TreeSet<>();
        points.forEach(point -> names.addAll(point.figures().keySet()));
        List<LinearFit> fits = new ArrayList<>();
        for (String name : names) {
            SimpleRegression regression = new SimpleRegression();
            points.stream()
                    .filter(point -> point.figures().containsKey(name))
                    .forEach(point ->
                            regression.addData(point.value(), point.figures().get(name)));
            if (regression.getN() > 2) {
                fits.add(new LinearFit(
                        name,
                        regression.getN(),
                        regression.getIntercept(),
                        regression.getSlope(),
                        regression.getRSquare(),
                        regression.predict(points.get(0).over().designValue())));
            }
        }
        return fits;
    }
}
