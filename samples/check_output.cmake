# Runs PROGRAM. Fails unless it exits with 0 and its output equals the content of the file EXPECTED.
execute_process(COMMAND ${PROGRAM} RESULT_VARIABLE status OUTPUT_VARIABLE output)
file(READ ${EXPECTED} expected)
if(NOT status STREQUAL "0")
  message(FATAL_ERROR "${PROGRAM} exited with ${status}; its output:\n${output}")
endif()
if(NOT output STREQUAL expected)
  message(FATAL_ERROR "${PROGRAM} printed:\n${output}\nexpected:\n${expected}")
endif()
