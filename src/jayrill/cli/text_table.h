#ifndef JAYRILL_CLI_TEXT_TABLE_H_
#define JAYRILL_CLI_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace jayrill {

/// A text table with left-aligned columns, for output to a terminal.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header);

  /// Adds a row with as many cells as the header.
  void AddRow(std::vector<std::string> cells);

  /// \returns true when the table has no row besides the header.
  bool empty() const { return rows_.size() == 1; }

  /// \returns the lines of the table, header first.
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace jayrill

#endif  // JAYRILL_CLI_TEXT_TABLE_H_
