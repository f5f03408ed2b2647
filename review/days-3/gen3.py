import random,sys
seed=int(sys.argv[1]); r=random.Random(seed)
L=60
P=[];F=[]
t=2.0
while t<L-6:
    P.append(dict(at=round(t,2),kind="scale_in",share=.25,service="agatemoor-pool")); t+=r.choice([3.5,5.0])
h=r.choice(["errors","reset","busy","shed"])
t=1.0
while t<L-6:
    for _ in range(3): F.append(dict(at=round(t,2),kind="srv_grey",share=.14,x=.45,for_s=6.5,how=h,service="agatemoor-pool"))
    t+=6.5
F=F[:24]
if r.random()<.6: F.append(dict(at=5,kind="burst",x=1.7,for_s=3.0)); F.append(dict(at=15,kind="burst",x=1.7,for_s=3.0))
def tv(v): return '"%s"'%v if isinstance(v,str) else repr(v)
def tl(n,l): return n+" = [\n"+"".join("  { "+", ".join(f"{k} = {tv(v)}" for k,v in d.items() if v!="")+" },\n" for d in l)+"]\n"
print(f'[[day]]\nname = "fz-{seed}"\nlength_s = {float(L)}\n'+tl("plan",P[:14])+tl("faults",F))
