// Ordinary least squares over a handful of points, and a plot with fixed margins. Cost is negligible.
#include "tools/bench_fit.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace heatherdeck {
namespace {

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
  double cross = 0;
  double square = 0;
  for (const bench_point& p : points) {
    cross += (p.x - mean_x) * (p.y - mean_y);
    square += (p.x - mean_x) * (p.x - mean_x);
  }
  fit.slope = square > 0 ? cross / square : 0;
  fit.base = mean_y - fit.slope * mean_x;
  for (const bench_point& p : points) fit.residual = std::max(fit.residual, std::abs(p.y - fit.at(p.x)));
  return fit;
}

std::string plot_svg(const std::string& title, const std::string& x_name, const std::string& y_name,
                     const std::vector<bench_point>& points, const line_fit& fit) {
  double most_x = 1e-9;
  double most_y = 1e-9;
  for (const bench_point& p : points) {
    most_x = std::max(most_x, p.x);
    most_y = std::max({most_y, p.y, fit.at(p.x)});
  }
  const auto place_x = [&](double x) { return margin + x / most_x * (width - 2 * margin); };
  const auto place_y = [&](double y) { return height - margin - std::max(0.0, y) / most_y * (height - 2 * margin); };
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" "
      "font-size=\"13\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
      "<text x=\"{2}\" y=\"24\" font-size=\"16\">{3}</text>\n",
      width, height, margin, title);
  svg += fmt::format("<path d=\"M{0} {1} V{2} H{3}\" fill=\"none\" stroke=\"black\"/>\n", margin, margin,
                     height - margin, width - margin);
  svg += fmt::format("<text x=\"{}\" y=\"{}\">{} (to {:.4g})</text>\n", width / 2, height - 20, x_name, most_x);
  svg += fmt::format("<text x=\"{}\" y=\"{}\">{} (to {:.4g})</text>\n", margin, margin - 10, y_name, most_y);
  svg += fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"steelblue\"/>\n",
                     place_x(0), place_y(fit.at(0)), place_x(most_x), place_y(fit.at(most_x)));
  for (const bench_point& p : points) {
    svg +=
        fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"4\" fill=\"firebrick\"/>\n", place_x(p.x), place_y(p.y));
  }
  return svg + "</svg>\n";
}

}  // namespace heatherdeck
