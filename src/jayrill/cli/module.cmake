jayrill_module(cli
  SOURCES agent_role.cc client_flags.cc command.cc config_commands.cc
          entry_role.cc help.cc http_call.cc load_command.cc
          load_flags.cc load_setup.cc operator_client.cc operator_session.cc
          role_application.cc role_flags.cc role_settings.cc rollout_report.cc
          sample_backend_role.cc setting_rules.cc settings.cc settings_table.cc
          status_commands.cc standalone.cc standalone_role.cc stop_signal.cc submit_command.cc text_table.cc
  DEPENDS jayrill_agent jayrill_base jayrill_entry jayrill_load jayrill_platform jayrill_sample absl::flags
          absl::flags_reflection absl::strings glog::glog Qt6::Core
          Qt6::Network)

add_executable(jayrill ${CMAKE_CURRENT_LIST_DIR}/main.cc)
target_compile_options(jayrill PRIVATE ${JAYRILL_WARNINGS})
target_link_libraries(jayrill PRIVATE jayrill_cli)
set_target_properties(jayrill PROPERTIES
  RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR})
