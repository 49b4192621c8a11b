/// @file
/// Straight lines through measured points, and their plots as SVG. Pure.
///
///     line_fit fit = fit_line({{10, 1.2}, {20, 2.1}, {40, 4.4}, {80, 8.6}});
///     fit.at(1100);
#pragma once

#include <string>
#include <vector>

namespace heatherdeck {

struct bench_point {
  double x = 0;
  double y = 0;
};

/// Least squares: y = base + slope * x; `residual` is the largest distance of a point from the line.
struct line_fit {
  double base = 0;
  double slope = 0;
  double residual = 0;

  double at(double x) const { return base + slope * x; }
};

line_fit fit_line(const std::vector<bench_point>& points);

/// @return an SVG picture of the points and the line.
std::string plot_svg(const std::string& title, const std::string& x_name, const std::string& y_name,
                     const std::vector<bench_point>& points, const line_fit& fit);

}  // namespace heatherdeck
