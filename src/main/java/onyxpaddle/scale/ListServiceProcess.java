package onyxpaddle.scale;

/** The list service in a process of its own: arguments are its capacity in whole lists a second, and the fault put in. */
public final class ListServiceProcess {
    private ListServiceProcess() {
    }

    public static void main(String[] args) throws Exception {
        try (ListServer server = new ListServer(Double.parseDouble(args[0]), SeededFault.of(args[1]))) {
            ChildMain.serve(command -> answer(server, (ListCommand) command));
        }
    }

    private static ListReply answer(ListServer server, ListCommand command) {
        try {
            if (command instanceof ListCommand.Open open) {
                return new ListReply.Opened(server.open(open.service(), open.nodes()));
            } else if (command instanceof ListCommand.Put put) {
                return server.put(put.service(), put.lines());
            } else if (command instanceof ListCommand.Down down) {
                server.down(down.down());
            } else if (command instanceof ListCommand.Cut cut) {
                server.cut(cut.nodes());
            } else if (command instanceof ListCommand.Reset) {
                server.reset();
            } else if (command instanceof ListCommand.Capacity capacity) {
                server.capacity(capacity.wholesPerSecond());
            } else if (command instanceof ListCommand.ReadLive) {
                return new ListReply.Live(ProcessCost.ownLiveHeap());
            } else if (command instanceof ListCommand.ReadCpu) {
                return new ListReply.Cpu(ProcessCost.ownCpuNanos());
            } else if (command instanceof ListCommand.Read) {
                return server.read();
            }
            return new ListReply.Done();
        } catch (Exception e) {
            return new ListReply.Failed(e.toString());
        }
    }
}
