#ifndef APP_RUN_H
#define APP_RUN_H

int run_entry(int argc, char **argv);
int run_control(int argc, char **argv);
int run_gateway(int argc, char **argv);
int run_hub(int argc, char **argv);

#endif
