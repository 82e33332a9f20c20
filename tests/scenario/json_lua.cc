#include "json_lua.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QString>

namespace jayrill::scenario {

void PushJson(lua_State* lua, const QJsonValue& value) {
  switch (value.type()) {
    case QJsonValue::Bool:
      lua_pushboolean(lua, value.toBool() ? 1 : 0);
      return;
    case QJsonValue::Double: {
      const double number = value.toDouble();
      const auto integer = static_cast<lua_Integer>(number);
      if (static_cast<double>(integer) == number) {
        lua_pushinteger(lua, integer);
      } else {
        lua_pushnumber(lua, number);
      }
      return;
    }
    case QJsonValue::String:
      lua_pushstring(lua, value.toString().toUtf8().constData());
      return;
    case QJsonValue::Array: {
      const QJsonArray items = value.toArray();
      lua_createtable(lua, static_cast<int>(items.size()), 0);
      lua_Integer index = 0;
      for (const QJsonValue item : items) {
        PushJson(lua, item);
        lua_rawseti(lua, -2, ++index);
      }
      return;
    }
    case QJsonValue::Object: {
      const QJsonObject fields = value.toObject();
      lua_createtable(lua, 0, static_cast<int>(fields.size()));
      for (auto it = fields.begin(); it != fields.end(); ++it) {
        PushJson(lua, it.value());
        lua_setfield(lua, -2, it.key().toUtf8().constData());
      }
      return;
    }
    case QJsonValue::Null:
    case QJsonValue::Undefined:
      lua_pushnil(lua);
      return;
  }
}

QJsonValue ToJson(lua_State* lua, int index) {
  index = lua_absindex(lua, index);
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index) != 0) {
        return static_cast<qint64>(lua_tointeger(lua, index));
      }
      return lua_tonumber(lua, index);
    case LUA_TSTRING:
      return QString::fromUtf8(lua_tostring(lua, index));
    case LUA_TTABLE:
      break;
    default:
      return QJsonValue::Null;
  }
  const auto length = static_cast<lua_Integer>(lua_rawlen(lua, index));
  if (length > 0) {
    QJsonArray items;
    for (lua_Integer i = 1; i <= length; ++i) {
      lua_rawgeti(lua, index, i);
      items.append(ToJson(lua, -1));
      lua_pop(lua, 1);
    }
    return items;
  }
  QJsonObject fields;
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    fields.insert(QString::fromUtf8(lua_tostring(lua, -2)), ToJson(lua, -1));
    lua_pop(lua, 1);
  }
  return fields;
}

}  // namespace jayrill::scenario
