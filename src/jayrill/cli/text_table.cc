#include "jayrill/cli/text_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jayrill {

text_table::text_table(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void text_table::AddRow(std::vector<std::string> cells) {
  assert(cells.size() == rows_.front().size() &&
         "a row must have one cell for each column");
  rows_.push_back(std::move(cells));
}

std::string text_table::ToString() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

}  // namespace jayrill
