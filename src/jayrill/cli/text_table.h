#ifndef JAYRILL_CLI_TEXT_TABLE_H_
#define JAYRILL_CLI_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace jayrill {

/// A table for terminals with left-aligned columns.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header);

  /// Adds a row with as many cells as the header.
  void AddRow(std::vector<std::string> cells);

  bool empty() const { return rows_.size() == 1; }

  /// \returns the lines of the table, header first.
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace jayrill

#endif  // JAYRILL_CLI_TEXT_TABLE_H_
