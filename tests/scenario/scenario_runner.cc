// Runs one scenario: a Lua script that starts real processes on loopback.
// PRELUDE defines the functions for SCRIPT and runs first.
// Usage: scenario_runner PRELUDE SCRIPT JAYRILL STORE_STANDIN

#include <signal.h>

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <chrono>
#include <cstdio>
#include <lua.hpp>
#include <string>

#include "json_lua.h"
#include "scenario_host.h"

namespace jayrill::scenario {
namespace {

/// \returns the host that main() has attached to \p lua.
scenario_host& Host(lua_State* lua) {
  return **static_cast<scenario_host**>(lua_getextraspace(lua));
}

QString StringArgument(lua_State* lua, int index) {
  return QString::fromUtf8(luaL_checkstring(lua, index));
}

QStringList ListArgument(lua_State* lua, int index) {
  luaL_checktype(lua, index, LUA_TTABLE);
  QStringList items;
  const auto length = static_cast<lua_Integer>(lua_rawlen(lua, index));
  for (lua_Integer i = 1; i <= length; ++i) {
    lua_rawgeti(lua, index, i);
    items.append(QString::fromUtf8(luaL_tolstring(lua, -1, nullptr)));
    lua_pop(lua, 2);
  }
  return items;
}

int IdArgument(lua_State* lua) {
  return static_cast<int>(luaL_checkinteger(lua, 1));
}

int Spawn(lua_State* lua) {
  lua_pushinteger(
      lua, Host(lua).Spawn(StringArgument(lua, 1), StringArgument(lua, 2),
                           ListArgument(lua, 3), ListArgument(lua, 4)));
  return 1;
}

int Signal(lua_State* lua) {
  const QString name = StringArgument(lua, 2);
  struct named_signal {
    const char* name;
    int number;
  };
  constexpr named_signal kSignals[] = {{"KILL", SIGKILL},
                                       {"TERM", SIGTERM},
                                       {"STOP", SIGSTOP},
                                       {"CONT", SIGCONT}};
  for (const named_signal& item : kSignals) {
    if (name == QLatin1String(item.name)) {
      Host(lua).Signal(IdArgument(lua), item.number);
      return 0;
    }
  }
  return luaL_error(lua, "unknown signal '%s'", qPrintable(name));
}

int ExitCode(lua_State* lua) {
  const std::optional<int> code = Host(lua).ExitCode(IdArgument(lua));
  if (!code) {
    return 0;
  }
  lua_pushinteger(lua, *code);
  return 1;
}

int Output(lua_State* lua) {
  lua_pushstring(lua, Host(lua).Output(IdArgument(lua)).toUtf8().constData());
  return 1;
}

int Usage(lua_State* lua) {
  const process_usage usage = Host(lua).Usage(IdArgument(lua));
  lua_pushinteger(lua, usage.resident_kib);
  lua_pushinteger(lua, usage.cpu_ms);
  lua_pushinteger(lua, usage.io_bytes);
  return 3;
}

int Pid(lua_State* lua) {
  lua_pushinteger(lua, Host(lua).Pid(IdArgument(lua)));
  return 1;
}

int Request(lua_State* lua) {
  std::map<QByteArray, QByteArray> headers;
  const QJsonObject fields = ToJson(lua, 3).toObject();
  for (auto it = fields.begin(); it != fields.end(); ++it) {
    headers[it.key().toUtf8()] = it.value().toString().toUtf8();
  }
  lua_pushinteger(lua, Host(lua).BeginRequest(StringArgument(lua, 1).toUtf8(),
                                              StringArgument(lua, 2), headers,
                                              StringArgument(lua, 4).toUtf8()));
  return 1;
}

int Answer(lua_State* lua) {
  const auto answer = Host(lua).Answer(IdArgument(lua));
  if (!answer) {
    return 0;
  }
  lua_pushinteger(lua, answer->status);
  lua_pushlstring(lua, answer->body.constData(),
                  static_cast<std::size_t>(answer->body.size()));
  return 2;
}

int Abort(lua_State* lua) {
  Host(lua).AbortRequest(IdArgument(lua));
  return 0;
}

int AddForwarder(lua_State* lua) {
  const int id = Host(lua).AddForwarder(StringArgument(lua, 1));
  lua_pushinteger(lua, id);
  lua_pushinteger(lua, Host(lua).Forwarder(id).port());
  return 2;
}

int SetForwarder(lua_State* lua) {
  const QString mode = StringArgument(lua, 2);
  forwarder& target = Host(lua).Forwarder(IdArgument(lua));
  if (mode == QLatin1String("pass")) {
    target.SetMode(forwarder::mode::kPass);
  } else if (mode == QLatin1String("stall")) {
    target.SetMode(forwarder::mode::kStall);
  } else if (mode == QLatin1String("close")) {
    target.SetMode(forwarder::mode::kClose);
  } else {
    return luaL_error(lua, "unknown forwarder mode '%s'", qPrintable(mode));
  }
  return 0;
}

int OpenRaw(lua_State* lua) {
  std::size_t length = 0;
  const char* const bytes = luaL_checklstring(lua, 2, &length);
  lua_pushinteger(lua, Host(lua).OpenRaw(
                           StringArgument(lua, 1),
                           QByteArray(bytes, static_cast<qsizetype>(length))));
  return 1;
}

int ReadRaw(lua_State* lua) {
  const auto [bytes, open] = Host(lua).ReadRaw(IdArgument(lua));
  lua_pushlstring(lua, bytes.constData(),
                  static_cast<std::size_t>(bytes.size()));
  lua_pushboolean(lua, open ? 1 : 0);
  return 2;
}

int FreePort(lua_State* lua) {
  lua_pushinteger(lua, Host(lua).FreePort());
  return 1;
}

int RunEventLoop(lua_State* lua) {
  scenario_host::RunEventLoop(static_cast<int>(luaL_checkinteger(lua, 1)));
  return 0;
}

int MonotonicMs(lua_State* lua) {
  lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::steady_clock::now().time_since_epoch())
                           .count());
  return 1;
}

int UnixMs(lua_State* lua) {
  lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count());
  return 1;
}

int EncodeJson(lua_State* lua) {
  const QJsonValue value = ToJson(lua, 1);
  const QJsonDocument document = value.isArray()
                                     ? QJsonDocument(value.toArray())
                                     : QJsonDocument(value.toObject());
  lua_pushstring(lua, document.toJson(QJsonDocument::Compact).constData());
  return 1;
}

int DecodeJson(lua_State* lua) {
  const QJsonDocument document =
      QJsonDocument::fromJson(StringArgument(lua, 1).toUtf8());
  if (document.isArray()) {
    PushJson(lua, document.array());
  } else if (document.isObject()) {
    PushJson(lua, document.object());
  } else {
    lua_pushnil(lua);
  }
  return 1;
}

/// Functions of the Lua table `host`.
constexpr luaL_Reg kHostFunctions[] = {
    {"spawn", Spawn},
    {"signal", Signal},
    {"exit_code", ExitCode},
    {"output", Output},
    {"usage", Usage},
    {"pid", Pid},
    {"request", Request},
    {"answer", Answer},
    {"abort", Abort},
    {"add_forwarder", AddForwarder},
    {"set_forwarder", SetForwarder},
    {"open_raw", OpenRaw},
    {"read_raw", ReadRaw},
    {"free_port", FreePort},
    {"run", RunEventLoop},
    {"monotonic_ms", MonotonicMs},
    {"unix_ms", UnixMs},
    {"encode_json", EncodeJson},
    {"decode_json", DecodeJson},
    {nullptr, nullptr},
};

int AddTraceback(lua_State* lua) {
  luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
  return 1;
}

bool RunScript(lua_State* lua, const char* path) {
  lua_pushcfunction(lua, AddTraceback);
  const int handler = lua_gettop(lua);
  const bool passed = luaL_loadfile(lua, path) == LUA_OK &&
                      lua_pcall(lua, 0, 0, handler) == LUA_OK;
  if (!passed) {
    std::printf("FAILED: %s\n", lua_tostring(lua, -1));
  }
  lua_settop(lua, handler - 1);
  return passed;
}

}  // namespace
}  // namespace jayrill::scenario

int main(int argc, char** argv) {
  using namespace jayrill::scenario;  // NOLINT(google-build-using-namespace)
  const QCoreApplication application(argc, argv);
  if (argc != 5) {
    std::printf(
        "usage: scenario_runner PRELUDE SCRIPT JAYRILL STORE_STANDIN\n");
    return 2;
  }
  scenario_host host;
  lua_State* const lua = luaL_newstate();
  luaL_openlibs(lua);
  *static_cast<scenario_host**>(lua_getextraspace(lua)) = &host;
  luaL_newlib(lua, kHostFunctions);
  lua_pushstring(lua, argv[3]);
  lua_setfield(lua, -2, "jayrill");
  lua_pushstring(lua, argv[4]);
  lua_setfield(lua, -2, "store_standin");
  lua_setglobal(lua, "host");
  const bool passed = RunScript(lua, argv[1]) && RunScript(lua, argv[2]);
  if (!passed) {
    host.PrintOutputs();
  }
  lua_close(lua);
  std::printf("%s: %s\n", argv[2], passed ? "passed" : "failed");
  return passed ? 0 : 1;
}
