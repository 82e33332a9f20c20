#ifndef TESTS_SCENARIO_JSON_LUA_H_
#define TESTS_SCENARIO_JSON_LUA_H_

#include <QJsonValue>
#include <lua.hpp>

namespace jayrill::scenario {

/// Pushes \p value onto the Lua stack; objects and arrays become tables, null
/// becomes nil.
void PushJson(lua_State* lua, const QJsonValue& value);

/// \returns the Lua value at \p index as JSON. A table with the keys 1 to n
/// becomes an array, an empty table an empty object.
QJsonValue ToJson(lua_State* lua, int index);

}  // namespace jayrill::scenario

#endif  // TESTS_SCENARIO_JSON_LUA_H_
