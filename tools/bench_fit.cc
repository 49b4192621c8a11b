// Ordinary least squares over a few points, and a plot of fixed size (pixels) whose axes start at 0. Cost: O(points).
#include "tools/bench_fit.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace heatherdeck {
namespace {

// Size of the plot and width of its margins, in pixels.
constexpr double width = 640;
constexpr double height = 400;
constexpr double margin = 60;

}  // namespace

line_fit fit_line(const std::vector<bench_point>& points) {
  line_fit fit;
  if (points.empty()) return fit;
  double mean_x = 0;
  double mean_y = 0;
  for (const bench_point& p : points) {
    mean_x += p.x / static_cast<double>(points.size());
    mean_y += p.y / static_cast<double>(points.size());
  }
  double sum_xy = 0;
  double sum_xx = 0;
  for (const bench_point& p : points) {
    sum_xy += (p.x - mean_x) * (p.y - mean_y);
    sum_xx += (p.x - mean_x) * (p.x - mean_x);
  }
  fit.slope = sum_xx > 0 ? sum_xy / sum_xx : 0;
  fit.intercept = mean_y - fit.slope * mean_x;
  for (const bench_point& p : points) fit.max_residual = std::max(fit.max_residual, std::abs(p.y - fit.at(p.x)));
  return fit;
}

std::string plot_svg(const std::string& title, const std::string& x_label, const std::string& y_label,
                     const std::vector<bench_point>& points, const line_fit& fit) {
  double max_x = 1e-9;
  double max_y = 1e-9;
  for (const bench_point& p : points) {
    max_x = std::max(max_x, p.x);
    max_y = std::max({max_y, p.y, fit.at(p.x)});
  }
  const auto pixel_x = [&](double x) { return margin + x / max_x * (width - 2 * margin); };
  const auto pixel_y = [&](double y) { return height - margin - std::max(0.0, y) / max_y * (height - 2 * margin); };
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" "
      "font-size=\"13\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
      "<text x=\"{2}\" y=\"24\" font-size=\"16\">{3}</text>\n",
      width, height, margin, title);
  svg += fmt::format("<path d=\"M{0} {1} V{2} H{3}\" fill=\"none\" stroke=\"black\"/>\n", margin, margin,
                     height - margin, width - margin);
  svg += fmt::format("<text x=\"{}\" y=\"{}\">{} (max {:.4g})</text>\n", width / 2, height - 20, x_label, max_x);
  svg += fmt::format("<text x=\"{}\" y=\"{}\">{} (max {:.4g})</text>\n", margin, margin - 10, y_label, max_y);
  svg += fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"steelblue\"/>\n",
                     pixel_x(0), pixel_y(fit.at(0)), pixel_x(max_x), pixel_y(fit.at(max_x)));
  for (const bench_point& p : points) {
    svg +=
        fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"4\" fill=\"firebrick\"/>\n", pixel_x(p.x), pixel_y(p.y));
  }
  return svg + "</svg>\n";
}

}  // namespace heatherdeck
