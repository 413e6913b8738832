#ifndef APP_CMD_H
#define APP_CMD_H

int cmd_main(int argc, char **argv);

#endif
