#include "base/err.h"

#include <stdarg.h>

/* Fills ERR, which may be NULL, and returns CODE, so that a function can end
   with "return err_set (...)". STEP and PEER are copied and may be NULL.  */
int
err_set (struct err *err, int code, const char *step, const char *peer,
         const char *format, ...)
{
  if (err == NULL)
    return code;
  va_list args;
  va_start (args, format);
  err->code = code;
  g_strlcpy (err->step, step ? step : "", sizeof err->step);
  g_strlcpy (err->peer, peer ? peer : "", sizeof err->peer);
  g_vsnprintf (err->text, sizeof err->text, format, args);
  va_end (args);
  return code;
}

/* Returns the name of CODE, such as "CONFLICT"; "OK" for 0.  */
const char *
err_name (int code)
{
  switch (code)
    {
#define ERR_CASE(name, number, text)                                           \
  case ERR_##name:                                                             \
    return #name;
      ERR_LIST (ERR_CASE)
#undef ERR_CASE
    default:
      return code == 0 ? "OK" : "UNKNOWN";
    }
}

/* Returns a description of CODE.  */
const char *
err_text (int code)
{
  switch (code)
    {
#define ERR_CASE(name, number, text)                                           \
  case ERR_##name:                                                             \
    return text;
      ERR_LIST (ERR_CASE)
#undef ERR_CASE
    default:
      return code == 0 ? "success" : "unknown error";
    }
}
