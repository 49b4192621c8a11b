/// @file
/// Least-squares line fits for the benchmark results, and their plots as SVG. Pure functions; used by
/// heatherdeck_bench.
///
///     line_fit fit = fit_line({{10, 1.2}, {20, 2.1}, {40, 4.4}, {80, 8.6}});
///     double extrapolated = fit.at(1100);
#pragma once

#include <string>
#include <vector>

namespace heatherdeck {

struct bench_point {
  double x = 0;
  double y = 0;
};

/// The line y = intercept + slope * x; `max_residual` is the largest vertical distance of a point from the line.
struct line_fit {
  double intercept = 0;
  double slope = 0;
  double max_residual = 0;

  double at(double x) const { return intercept + slope * x; }
};

/// Fits a line by ordinary least squares. Without points all figures are 0; if all x are equal the slope is 0.
line_fit fit_line(const std::vector<bench_point>& points);

/// @return an SVG image of the points and the line. The axis labels show the maximum of each axis.
std::string plot_svg(const std::string& title, const std::string& x_label, const std::string& y_label,
                     const std::vector<bench_point>& points, const line_fit& fit);

}  // namespace heatherdeck
