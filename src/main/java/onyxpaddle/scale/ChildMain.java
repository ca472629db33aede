package onyxpaddle.scale;

import java.io.EOFException;
import java.io.ObjectInputStream;
import java.io.ObjectOutputStream;
import java.io.OutputStream;
import java.io.Serializable;

/** The side of a {@link ChildProcess} that answers: a message in, a message out, until the harness closes the pipe or ends. */
final class ChildMain {
    /** What a process does for its harness. */
    interface Answers {
        Serializable answer(Object command) throws Exception;
    }

    private ChildMain() {
    }

    /** Serves the harness; what else the process prints goes to standard error. */
    static void serve(Answers answers) throws Exception {
        OutputStream pipe = System.out;
        System.setOut(System.err);
        ObjectOutputStream out = new ObjectOutputStream(pipe);
        out.flush();
        ObjectInputStream in = new ObjectInputStream(System.in);
        try {
            while (true) {
                out.writeObject(answers.answer(in.readObject()));
                out.flush();
                out.reset();
            }
        } catch (EOFException e) {
            Runtime.getRuntime().halt(0);
        }
    }
}
