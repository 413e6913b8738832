#ifndef APP_SERVE_H
#define APP_SERVE_H

int serve_entry(int argc, char **argv);
int serve_control(int argc, char **argv);
int serve_gateway(int argc, char **argv);
int serve_hub(int argc, char **argv);

#endif
